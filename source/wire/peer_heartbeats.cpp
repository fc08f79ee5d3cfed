#include "wire/peer_heartbeats.hpp"

#include "wire/datagram.hpp"

namespace bramleyarch::decisions
{

template <class Archive>
void serialize(Archive& archive, server_request_count& count)
{
    archive(count.server, count.in_flight);
}

template <class Archive>
void serialize(Archive& archive, aged_request_crash& crash)
{
    archive(crash.request, crash.server, crash.age_ms);
}

template <class Archive>
void serialize(Archive& archive, aged_request_answer& answer)
{
    archive(answer.request, answer.age_ms);
}

template <class Archive>
void serialize(Archive& archive, aged_prompt_crash& crash)
{
    archive(crash.server, crash.age_ms, crash.parts);
}

template <class Archive>
void serialize(Archive& archive, aged_part_answer& answer)
{
    archive(answer.part, answer.age_ms);
}

template <class Archive>
void serialize(Archive& archive, aged_server_pace& pace)
{
    archive(pace.server, pace.pace_percent, pace.age_ms);
}

template <class Archive>
void serialize(Archive& archive, version_counts& counts)
{
    archive(counts.route, counts.new_version, counts.sent, counts.answered,
            counts.failed, counts.slow, counts.timed, counts.waited_ms);
}

template <class Archive>
void serialize(Archive& archive, rollout_evidence& evidence)
{
    archive(evidence.service, evidence.order, evidence.state, evidence.age_ms,
            evidence.counts);
}

template <class Archive>
void serialize(Archive& archive, service_demand& demand)
{
    archive(demand.service, demand.in_flight, demand.waiting,
            demand.arrivals_per_10_s);
}

template <class Archive>
void serialize(Archive& archive, aged_server_limit& limit)
{
    archive(limit.run, limit.is_limited, limit.rate, limit.age_ms);
}

template <class Archive>
void serialize(Archive& archive, peer_heartbeat& heartbeat)
{
    archive(heartbeat.from, heartbeat.domain, heartbeat.started,
            heartbeat.sequence, heartbeat.store_era, heartbeat.rules_revision,
            heartbeat.servers_revision, heartbeat.loads,
            heartbeat.request_crashes, heartbeat.request_answers,
            heartbeat.prompt_crashes, heartbeat.part_answers,
            heartbeat.server_paces, heartbeat.rollouts,
            heartbeat.service_demands, heartbeat.server_limits);
}

} // namespace bramleyarch::decisions

namespace bramleyarch::wire
{

namespace
{

/// First bytes of a heartbeat; the last one is the version of the encoding.
constexpr std::string_view peer_heartbeat_magic{"brP\x08"};

/// No datagram is larger.
constexpr std::size_t max_peer_heartbeat_bytes = 64U << 10;

} // namespace

std::string encode_peer_heartbeat(decisions::peer_heartbeat const& heartbeat)
{
    return encode_datagram(peer_heartbeat_magic, heartbeat);
}

result<decisions::peer_heartbeat>
decode_peer_heartbeat(std::string_view datagram)
{
    return decode_datagram<decisions::peer_heartbeat>(
        peer_heartbeat_magic, max_peer_heartbeat_bytes, datagram);
}

} // namespace bramleyarch::wire
