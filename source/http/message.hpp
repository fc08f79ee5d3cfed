/// Incremental parsing of HTTP/1.1 messages over the http-parser library.
#pragma once

#include "common/request.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <http_parser.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bramleyarch::http
{

enum class message_kind
{
    request,
    response,
};

/// Head of a message. Header names are lower case; fields that occur more than
/// once stand more than once.
struct message_head
{
    std::string method; ///< Requests.
    std::string target; ///< Requests: path and query as they came.
    int status = 0;     ///< Responses.
    unsigned minor_version = 1;
    std::vector<header_field> headers;
    std::optional<std::uint64_t> length; ///< Stated length of the body.
    bool chunked = false;
};

enum class parse_state
{
    head,     ///< The head is not whole.
    body,     ///< The head is whole, the body not.
    complete, ///< One message was read; `next_message` starts another.
    failed,   ///< No HTTP, or a message that contradicts itself.
};

/// Parser of the messages of one connection. Not to be moved while parsing.
struct message_parser
{
    http_parser parser{};
    message_kind kind = message_kind::request;
    parse_state state = parse_state::head;
    message_head head;
    bool reading_name = false;
    std::size_t head_bytes = 0;
    std::size_t max_head_bytes = 0;
    bool head_too_large = false;
    /// Bytes of a request's body as they came, those of the body itself, and
    /// chunks begun: what is beyond tells of extensions and trailers.
    std::size_t framed_bytes = 0;
    std::size_t body_bytes = 0;
    std::size_t chunks = 0;
    /// The response answers a HEAD request, so it has no body.
    bool without_body = false;
    bool keep_alive = false; ///< Of the last complete message.
    /// Called once with each whole head; false ends parsing as failed.
    std::function<bool(message_head const&)> on_head;
    std::function<void(std::string_view)> on_body;
};

/// Sets `p` up for the first message of a connection.
/// Chunk extensions and trailers are dropped; a request with more of them than
/// a head may have bytes fails with `head_too_large`.
void start(message_parser& p, message_kind kind, std::size_t max_head_bytes);

/// Parses; returns how many bytes belong to the current message. Fewer than
/// given only when it is complete or failed.
std::size_t parse(message_parser& p, std::string_view bytes);

/// The peer closed in good order: completes a body that ends by that.
void parse_end(message_parser& p);

/// Starts the next message after a complete one.
void next_message(message_parser& p);

/// True when the body ends only with its connection.
bool ends_by_close(message_parser const& p);

} // namespace bramleyarch::http
