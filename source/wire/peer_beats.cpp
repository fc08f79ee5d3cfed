#include "wire/peer_beats.hpp"

#include "wire/datagram.hpp"

namespace bramleyarch::decisions
{

template <class Archive>
void serialize(Archive& archive, server_count& count)
{
    archive(count.server, count.in_flight);
}

template <class Archive>
void serialize(Archive& archive, suspect_body& body)
{
    archive(body.fingerprint, body.server);
}

template <class Archive>
void serialize(Archive& archive, peer_beat& beat)
{
    archive(beat.from, beat.domain, beat.started, beat.sequence,
            beat.rules_changed, beat.servers_changed, beat.loads,
            beat.suspects);
}

} // namespace bramleyarch::decisions

namespace bramleyarch::wire
{

namespace
{

/// First bytes of a beat; the last one is the version of its form.
constexpr std::string_view beat_mark{"brP\x02"};

constexpr std::size_t max_beat_bytes = 16U << 10;

} // namespace

std::string encode_beat(decisions::peer_beat const& beat)
{
    return encode_datagram(beat_mark, beat);
}

result<decisions::peer_beat> decode_beat(std::string_view datagram)
{
    return decode_datagram<decisions::peer_beat>(beat_mark, max_beat_bytes,
                                                 datagram);
}

} // namespace bramleyarch::wire
