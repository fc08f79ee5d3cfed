#include "wire/heartbeats.hpp"

#include "wire/datagram.hpp"

#include <utility>

namespace bramleyarch::wire
{

namespace
{

constexpr std::string_view heartbeat_mark = "BH\x01";

/// An endpoint whose address is left out when it is that of another one.
struct near_endpoint
{
    endpoint& at;
    endpoint const& base;

    template <class Archive>
    void save(Archive& archive) const
    {
        bool const same = at.address == base.address;
        archive(same, compact{at.port});
        if (!same)
            archive(at.address);
    }

    template <class Archive>
    void load(Archive& archive)
    {
        bool same = false;
        archive(same, compact{at.port});
        if (same)
            at.address = base.address;
        else
            archive(at.address);
    }
};

} // namespace

} // namespace bramleyarch::wire

namespace bramleyarch
{

template <class Archive>
void serialize(Archive& archive, member& m)
{
    archive(m.id, m.domain, m.started, wire::named{m.state});
    archive(m.heartbeat.address, wire::compact{m.heartbeat.port});
    archive(wire::near_endpoint{m.link, m.heartbeat});
    archive(wire::near_endpoint{m.admin, m.heartbeat});
    archive(wire::compact{m.config});
}

} // namespace bramleyarch

namespace bramleyarch::decisions
{

template <class Archive>
void serialize(Archive& archive, router_ref& r)
{
    archive(r.name, r.started);
}

template <class Archive>
void serialize(Archive& archive, full_member_update& n)
{
    archive(n.info, wire::compact{n.sequence}, wire::compact{n.age_steps});
}

template <class Archive>
void serialize(Archive& archive, compact_member_update& n)
{
    archive(n.router, wire::named{n.state}, wire::compact{n.sequence},
            wire::compact{n.age_steps}, wire::compact{n.config});
}

template <class Archive>
void save(Archive& archive, compact_load const& l)
{
    archive(l.server, wire::compact{l.in_flight}, wire::compact{l.queued},
            wire::compact{l.limit});
    auto const flags = (l.cold ? 1U : 0U) | (l.usable ? 2U : 0U);
    archive(static_cast<std::uint8_t>(flags));
}

template <class Archive>
void load(Archive& archive, compact_load& l)
{
    std::uint8_t flags = 0;
    archive(l.server, wire::compact{l.in_flight}, wire::compact{l.queued},
            wire::compact{l.limit}, flags);
    l.cold = (flags & 1U) != 0;
    l.usable = (flags & 2U) != 0;
}

template <class Archive>
void serialize(Archive& archive, load_update& n)
{
    archive(n.owner, wire::compact{n.sequence}, wire::compact{n.age_steps},
            n.loads);
}

template <class Archive>
void serialize(Archive& archive, compact_demand& d)
{
    archive(d.team, wire::compact{d.rate_milli});
}

template <class Archive>
void serialize(Archive& archive, compact_quarantine& q)
{
    archive(q.body_fingerprint, q.server, q.quarantined,
            wire::compact{q.ttl_ms});
}

template <class Archive>
void serialize(Archive& archive, heartbeat& h)
{
    archive(wire::named{h.kind}, h.sender, h.joined, h.members, h.loads,
            h.demand, h.quarantine, h.probe_requests);
}

} // namespace bramleyarch::decisions

namespace bramleyarch::wire
{

std::string encode_heartbeat(decisions::heartbeat const& h)
{
    return encode_datagram(heartbeat_mark, h);
}

result<decisions::heartbeat> decode_heartbeat(std::string_view datagram)
{
    return decode_datagram<decisions::heartbeat>(heartbeat_mark,
                                                 max_heartbeat_bytes, datagram);
}

} // namespace bramleyarch::wire
