#include "wire/frames.hpp"

#include "wire/serialize.hpp"

#include <array>
#include <exception>
#include <utility>

namespace bramleyarch::wire
{

namespace
{

struct frame_header
{
    std::uint32_t magic = frame_magic;
    std::uint8_t version = frame_version;
    std::uint8_t type = 0;
    std::uint16_t reserved = 0;
    std::uint32_t length = 0;
};

void write_number(char* target, std::uint64_t number, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        target[i] = static_cast<char>(number >> (8 * i));
}

std::uint32_t read_number(std::string_view bytes, std::size_t offset,
                          std::size_t count)
{
    std::uint32_t number = 0;
    for (std::size_t i = 0; i < count; ++i)
        number |= std::uint32_t{static_cast<std::uint8_t>(bytes[offset + i])}
                  << (8 * i);
    return number;
}

void write_header(char* target, frame_header const& header)
{
    write_number(target, header.magic, 4);
    write_number(target + 4, header.version, 1);
    write_number(target + 5, header.type, 1);
    write_number(target + 6, header.reserved, 2);
    write_number(target + 8, header.length, 4);
}

frame_header read_header(std::string_view bytes)
{
    return {.magic = read_number(bytes, 0, 4),
            .version = static_cast<std::uint8_t>(read_number(bytes, 4, 1)),
            .type = static_cast<std::uint8_t>(read_number(bytes, 5, 1)),
            .reserved = static_cast<std::uint16_t>(read_number(bytes, 6, 2)),
            .length = read_number(bytes, 8, 4)};
}

/// Compares the magic bytes that have arrived, so that a stream of another
/// protocol is rejected at its first bytes.
bool may_be_frame(std::string_view buffer)
{
    std::array<char, 4> magic{};
    write_number(magic.data(), frame_magic, magic.size());
    std::string_view const expected{magic.data(), magic.size()};
    return buffer.substr(0, 4) == expected.substr(0, buffer.size());
}

/// Returns why a header is invalid, or an empty text if it is valid.
std::string_view find_header_fault(frame_header const& header)
{
    if (header.version != frame_version)
        return "frame has another version of the protocol";
    if (header.type >= enum_size<frame_type>())
        return "unknown frame type";
    if (header.reserved != 0)
        return "reserved bytes are not zero";
    if (header.length > max_payload_bytes)
        return "frame is too long";
    return {};
}

template <class Archive, class Payload>
void save_payload(Archive& archive, Payload const& payload, time_point)
{
    archive(payload);
}

template <class Archive>
void save_payload(Archive& archive, services::offer const& payload,
                  time_point now)
{
    duration remaining = payload.request.deadline - now;
    archive(payload, compact_duration{remaining});
}

template <class Archive, class Payload>
void load_payload(Archive& archive, Payload& payload, time_point)
{
    archive(payload);
}

template <class Archive>
void load_payload(Archive& archive, services::offer& payload, time_point now)
{
    duration remaining{};
    archive(payload, compact_duration{remaining});
    payload.request.deadline = now + remaining;
}

/// Loads the alternative of `frame` whose index is `type`.
template <std::size_t Index = 0>
frame load_frame(std::uint8_t type, cereal::PortableBinaryInputArchive& archive,
                 time_point now)
{
    if constexpr (Index < std::variant_size_v<frame>)
    {
        if (type != Index)
            return load_frame<Index + 1>(type, archive, now);
        std::variant_alternative_t<Index, frame> payload;
        load_payload(archive, payload, now);
        return payload;
    }
    throw cereal::Exception{"unknown frame type"};
}

frame decode_payload(std::uint8_t type, std::string_view payload,
                     time_point now)
{
    memory_source source{payload};
    std::istream stream{&source};
    cereal::PortableBinaryInputArchive archive{stream};
    frame decoded = load_frame(type, archive, now);
    if (source.remaining() != 0)
        throw cereal::Exception{"frame has bytes after the payload"};
    return decoded;
}

} // namespace

result<void> append_frame(std::string& output, frame const& message,
                          time_point now)
{
    std::size_t const begin = output.size();
    output.resize(begin + frame_header_bytes);
    {
        string_sink sink{output};
        std::ostream stream{&sink};
        cereal::PortableBinaryOutputArchive archive{stream};
        std::visit([&](auto const& payload)
                   { save_payload(archive, payload, now); },
                   message);
    }
    std::size_t const length = output.size() - begin - frame_header_bytes;
    if (length > max_payload_bytes)
    {
        output.resize(begin);
        return fail(error_kind::link_protocol,
                    "message is too long for a frame");
    }
    write_header(output.data() + begin,
                 {.type = static_cast<std::uint8_t>(message.index()),
                  .length = static_cast<std::uint32_t>(length)});
    return boost::outcome_v2::success();
}

result<std::optional<decoded_frame>> decode_frame(std::string_view buffer,
                                                  time_point now)
{
    if (!may_be_frame(buffer))
        return fail(error_kind::link_protocol,
                    "stream is not of the fleet link protocol");
    if (buffer.size() < frame_header_bytes)
        return std::optional<decoded_frame>{};
    auto const header = read_header(buffer);
    if (auto const fault = find_header_fault(header); !fault.empty())
        return fail(error_kind::link_protocol, std::string{fault});
    std::size_t const bytes = frame_header_bytes + header.length;
    if (buffer.size() < bytes)
        return std::optional<decoded_frame>{};
    try
    {
        auto const payload = buffer.substr(frame_header_bytes, header.length);
        return std::optional{decoded_frame{
            .what = decode_payload(header.type, payload, now), .bytes = bytes}};
    }
    catch (std::exception const& exception)
    {
        auto const type = static_cast<frame_type>(header.type);
        return fail(error_kind::link_protocol,
                    std::string{to_name(type)} + ": " + exception.what());
    }
}

} // namespace bramleyarch::wire
