#include "wire/heartbeats.hpp"

#include "wire/datagram.hpp"

#include <utility>

namespace bramleyarch::wire
{

namespace
{

/// First bytes of a heartbeat. The last one is the version of the encoding.
constexpr std::string_view heartbeat_magic = "BH\x01";

/// Serializes an endpoint, and omits its address if it equals that of `base`.
struct relative_endpoint
{
    endpoint& target;
    endpoint const& base;

    template <class Archive>
    void save(Archive& archive) const
    {
        bool const same = target.address == base.address;
        archive(same, compact{target.port});
        if (!same)
            archive(target.address);
    }

    template <class Archive>
    void load(Archive& archive)
    {
        bool same = false;
        archive(same, compact{target.port});
        if (same)
            target.address = base.address;
        else
            archive(target.address);
    }
};

} // namespace

} // namespace bramleyarch::wire

namespace bramleyarch
{

template <class Archive>
void serialize(Archive& archive, member& info)
{
    archive(info.id, info.domain, info.started, wire::named_enum{info.state});
    archive(info.heartbeat.address, wire::compact{info.heartbeat.port});
    archive(wire::relative_endpoint{info.link, info.heartbeat});
    archive(wire::relative_endpoint{info.admin, info.heartbeat});
    archive(wire::compact{info.config});
}

} // namespace bramleyarch

namespace bramleyarch::decisions
{

template <class Archive>
void serialize(Archive& archive, router_ref& router)
{
    archive(router.name, router.started);
}

template <class Archive>
void serialize(Archive& archive, full_member_update& update)
{
    archive(update.info, wire::compact{update.sequence},
            wire::compact{update.age_steps});
}

template <class Archive>
void serialize(Archive& archive, compact_member_update& update)
{
    archive(update.router, wire::named_enum{update.state},
            wire::compact{update.sequence}, wire::compact{update.age_steps},
            wire::compact{update.config});
}

template <class Archive>
void save(Archive& archive, compact_load const& server)
{
    archive(server.server, wire::compact{server.in_flight},
            wire::compact{server.queued}, wire::compact{server.limit});
    auto const flags = (server.cold ? 1U : 0U) | (server.usable ? 2U : 0U);
    archive(static_cast<std::uint8_t>(flags));
}

template <class Archive>
void load(Archive& archive, compact_load& server)
{
    std::uint8_t flags = 0;
    archive(server.server, wire::compact{server.in_flight},
            wire::compact{server.queued}, wire::compact{server.limit}, flags);
    server.cold = (flags & 1U) != 0;
    server.usable = (flags & 2U) != 0;
}

template <class Archive>
void serialize(Archive& archive, load_update& update)
{
    archive(update.owner, wire::compact{update.sequence},
            wire::compact{update.age_steps}, update.loads);
}

template <class Archive>
void serialize(Archive& archive, compact_demand& demand)
{
    archive(demand.team, wire::compact{demand.rate_milli});
}

template <class Archive>
void serialize(Archive& archive, compact_quarantine& entry)
{
    archive(entry.body_fingerprint, entry.server, entry.quarantined,
            wire::compact{entry.ttl_ms});
}

template <class Archive>
void serialize(Archive& archive, heartbeat& message)
{
    archive(wire::named_enum{message.kind}, message.sender, message.joined,
            message.members, message.loads, message.demand, message.quarantine,
            message.probe_requests);
}

} // namespace bramleyarch::decisions

namespace bramleyarch::wire
{

std::string encode_heartbeat(decisions::heartbeat const& heartbeat)
{
    return encode_datagram(heartbeat_magic, heartbeat);
}

result<decisions::heartbeat> decode_heartbeat(std::string_view datagram)
{
    return decode_datagram<decisions::heartbeat>(heartbeat_magic,
                                                 max_heartbeat_bytes, datagram);
}

} // namespace bramleyarch::wire
