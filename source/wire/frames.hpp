/// Frames of the fleet link, over which routers send each other messages by
/// TCP.
///
/// A frame is a header and a payload in cereal's portable binary format. The
/// header has 12 bytes: magic (4), version (1), type (1), zero (2) and length
/// of the payload (4), as little-endian numbers. Deadlines are sent as
/// remaining time, since the routers' clocks are not synchronized.
#pragma once

#include "common/enum_names.hpp"
#include "common/error.hpp"
#include "common/ids.hpp"
#include "common/time.hpp"
#include "services/messages/owner.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace bramleyarch::wire
{

constexpr std::uint32_t frame_magic = 0x4c4d5242; ///< "BRML".
constexpr std::uint8_t frame_version = 1;
constexpr std::size_t frame_header_bytes = 12;

/// Longest payload. A request body or a configuration document of 1 MB fits,
/// together with its headers.
constexpr std::size_t max_payload_bytes = 2U << 20;

/// First frame in each direction. Identifies the sender and the receiver.
struct hello
{
    router_id from;
    router_id to;
    incarnation started = 0;
};

/// Checks that the link transmits in both directions.
struct link_heartbeat
{
    std::uint64_t number = 0;
    bool reply = false;
};

/// Asks for the configuration if it is newer than `newer_than`.
struct config_fetch
{
    revision newer_than = 0;
};

/// A configuration document as canonical JSON.
struct config_answer
{
    std::string json;
};

/// Type in the header of a frame. The values are the indexes of the
/// alternatives of `frame`.
enum class frame_type : std::uint8_t
{
    hello,
    link_heartbeat,
    config_fetch,
    config_answer,
    offer,
    cancel_attempt,
    grant_credit,
    redirect,
    admitted,
    answer_head,
    answer_chunk,
    answer_end,
    answer_error,
};

constexpr auto enum_names(frame_type)
{
    using type = frame_type;
    using row = enum_name<frame_type>;
    return std::array{
        row{type::hello, "hello"},
        row{type::link_heartbeat, "link_heartbeat"},
        row{type::config_fetch, "config_fetch"},
        row{type::config_answer, "config_answer"},
        row{type::offer, "offer"},
        row{type::cancel_attempt, "cancel_attempt"},
        row{type::grant_credit, "grant_credit"},
        row{type::redirect, "redirect"},
        row{type::admitted, "admitted"},
        row{type::answer_head, "answer_head"},
        row{type::answer_chunk, "answer_chunk"},
        row{type::answer_end, "answer_end"},
        row{type::answer_error, "answer_error"},
    };
}

using frame =
    std::variant<hello, link_heartbeat, config_fetch, config_answer,
                 services::offer, services::cancel_attempt,
                 services::grant_credit, services::redirect, services::admitted,
                 answer_head, answer_chunk, answer_end, answer_error>;

static_assert(std::variant_size_v<frame> == enum_size<frame_type>());

/// Encodes `message` and appends it to `output`. Fails with `link_protocol` and
/// leaves `output` unchanged if the payload is longer than `max_payload_bytes`.
result<void> append_frame(std::string& output, frame const& message,
                          time_point now);

/// A frame decoded from the start of a buffer.
struct decoded_frame
{
    frame what;
    std::size_t bytes = 0; ///< Length including the header.
};

/// Decodes the first frame of `buffer`. Returns std::nullopt if the frame is
/// incomplete. Fails with `link_protocol` if it is invalid; the rest of the
/// stream can't be decoded then.
result<std::optional<decoded_frame>> decode_frame(std::string_view buffer,
                                                  time_point now);

} // namespace bramleyarch::wire
