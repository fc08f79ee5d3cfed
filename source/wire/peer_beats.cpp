#include "wire/peer_beats.hpp"

#include "wire/archive.hpp"

#include <exception>

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
    archive(beat.from, beat.started, beat.sequence, beat.loads, beat.suspects);
}

} // namespace bramleyarch::decisions

namespace bramleyarch::wire
{

namespace
{

/// First bytes of a beat; the last one is the version of its form.
constexpr std::string_view beat_mark{"brP\x01"};

constexpr std::size_t max_beat_bytes = 16U << 10;

} // namespace

std::string encode_beat(decisions::peer_beat const& beat)
{
    std::string out{beat_mark};
    string_sink sink{out};
    std::ostream stream{&sink};
    cereal::PortableBinaryOutputArchive archive{stream};
    archive(beat);
    return out;
}

result<decisions::peer_beat> decode_beat(std::string_view datagram)
{
    if (datagram.size() > max_beat_bytes || !datagram.starts_with(beat_mark))
        return fail(error_kind::link_protocol, "not a beat");
    memory_source source{datagram.substr(beat_mark.size())};
    std::istream stream{&source};
    try
    {
        cereal::PortableBinaryInputArchive archive{stream};
        decisions::peer_beat decoded;
        archive(decoded);
        if (source.remaining() != 0)
            return fail(error_kind::link_protocol, "bytes after a beat");
        return decoded;
    }
    catch (std::exception const& e)
    {
        return fail(error_kind::link_protocol, e.what());
    }
}

} // namespace bramleyarch::wire
