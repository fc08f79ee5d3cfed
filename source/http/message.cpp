#include "http/message.hpp"

#include "http/headers.hpp"

#include <utility>

namespace bramleyarch::http
{

namespace
{

constexpr int go_on = 0;
constexpr int stop = -1;
/// What http-parser takes from `on_headers_complete`.
constexpr int skip_body = 1;

message_parser& self(http_parser* parser)
{
    return *static_cast<message_parser*>(parser->data);
}

int on_target(http_parser* parser, char const* at, std::size_t size)
{
    self(parser).head.target.append(at, size);
    return go_on;
}

int on_header_name(http_parser* parser, char const* at, std::size_t size)
{
    auto& p = self(parser);
    // Trailers come after the head and are dropped.
    if (p.state != parse_state::head)
        return go_on;
    if (!std::exchange(p.reading_name, true))
        p.head.headers.emplace_back();
    p.head.headers.back().name += to_lower({at, size});
    return go_on;
}

int on_header_value(http_parser* parser, char const* at, std::size_t size)
{
    auto& p = self(parser);
    p.reading_name = false;
    if (p.state == parse_state::head && !p.head.headers.empty())
        p.head.headers.back().value.append(at, size);
    return go_on;
}

/// Returns whether a status is in one of the classes of RFC 9110. The parser
/// accepts any three digits.
bool is_status(int status)
{
    return status >= 100 && status <= 599;
}

int on_head_complete(http_parser* parser)
{
    auto& p = self(parser);
    auto& head = p.head;
    p.reading_name = false;
    head.status = p.kind == message_kind::response
                      ? static_cast<int>(parser->status_code)
                      : 0;
    if (p.kind == message_kind::request)
        head.method = http_method_str(static_cast<http_method>(parser->method));
    if (p.kind == message_kind::response && !is_status(head.status))
        return stop;
    head.minor_version = parser->http_minor;
    head.chunked = (parser->flags & F_CHUNKED) != 0;
    if ((parser->flags & F_CONTENTLENGTH) != 0)
        head.length = parser->content_length;
    bool const interim = p.kind == message_kind::response && head.status < 200;
    p.state = parse_state::body;
    if (!interim && p.on_head && !p.on_head(head))
        return stop;
    return p.without_body ? skip_body : go_on;
}

int on_body(http_parser* parser, char const* at, std::size_t size)
{
    auto& p = self(parser);
    p.body_bytes += size;
    if (p.on_body)
        p.on_body({at, size});
    return go_on;
}

int on_chunk(http_parser* parser)
{
    ++self(parser).chunks;
    return go_on;
}

int on_complete(http_parser* parser)
{
    auto& p = self(parser);
    bool const interim =
        p.kind == message_kind::response && p.head.status < 200;
    if (interim)
    {
        p.head = {};
        p.state = parse_state::head;
        return go_on;
    }
    p.keep_alive = http_should_keep_alive(parser) != 0 && parser->upgrade == 0;
    p.state = parse_state::complete;
    http_parser_pause(parser, 1);
    return go_on;
}

http_parser_settings make_callbacks()
{
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_url = on_target;
    callbacks.on_header_field = on_header_name;
    callbacks.on_header_value = on_header_value;
    callbacks.on_headers_complete = on_head_complete;
    callbacks.on_body = on_body;
    callbacks.on_chunk_header = on_chunk;
    callbacks.on_message_complete = on_complete;
    return callbacks;
}

http_parser_settings const callbacks = make_callbacks();

void reset(message_parser& p)
{
    p.state = parse_state::head;
    p.head = {};
    p.head_bytes = 0;
    p.framed_bytes = p.body_bytes = p.chunks = 0;
    p.reading_name = false;
    p.without_body = false;
}

/// Largest size line of a chunk without extensions, and the end of its data.
constexpr std::size_t chunk_frame_bytes = 20;

/// Returns whether a request has more bytes of extensions and trailers than its
/// head may have.
bool has_too_much_framing(message_parser const& p)
{
    if (p.kind != message_kind::request || !p.head.chunked)
        return false;
    return p.framed_bytes >
           p.body_bytes + p.chunks * chunk_frame_bytes + p.max_head_bytes;
}

/// A transfer coding that the parser does not undo would pass for a body.
bool has_unknown_coding(message_head const& head)
{
    auto const coding = find_header(head.headers, "transfer-encoding");
    return !coding.empty() && to_lower(coding) != "chunked";
}

} // namespace

void start(message_parser& p, message_kind kind, std::size_t max_head_bytes)
{
    p.kind = kind;
    p.max_head_bytes = max_head_bytes;
    http_parser_init(&p.parser, kind == message_kind::request ? HTTP_REQUEST
                                                              : HTTP_RESPONSE);
    p.parser.data = &p;
    reset(p);
}

std::size_t parse(message_parser& p, std::string_view bytes)
{
    if (p.state == parse_state::complete || p.state == parse_state::failed)
        return 0;
    bool const was_head = p.state == parse_state::head;
    auto const used =
        http_parser_execute(&p.parser, &callbacks, bytes.data(), bytes.size());
    auto const error = HTTP_PARSER_ERRNO(&p.parser);
    // `on_complete` pauses the parser so that it leaves the bytes that follow.
    if (error == HPE_PAUSED && p.state == parse_state::complete)
        http_parser_pause(&p.parser, 0);
    else if (error != HPE_OK ||
             (p.state == parse_state::body && has_unknown_coding(p.head)))
        p.state = parse_state::failed;
    if (was_head)
        p.head_bytes += used;
    if (p.state == parse_state::head && p.head_bytes > p.max_head_bytes)
    {
        p.head_too_large = true;
        p.state = parse_state::failed;
    }
    p.framed_bytes += was_head ? 0 : used;
    if (p.state == parse_state::body && has_too_much_framing(p))
    {
        p.head_too_large = true;
        p.state = parse_state::failed;
    }
    return used;
}

void parse_end(message_parser& p)
{
    if (p.state != parse_state::body)
        return;
    http_parser_execute(&p.parser, &callbacks, nullptr, 0);
    if (p.state == parse_state::complete)
        http_parser_pause(&p.parser, 0);
    else
        p.state = parse_state::failed;
}

void next_message(message_parser& p)
{
    reset(p);
    http_parser_init(&p.parser, p.kind == message_kind::request
                                    ? HTTP_REQUEST
                                    : HTTP_RESPONSE);
}

bool ends_by_close(message_parser const& p)
{
    return p.state == parse_state::body && !p.head.length && !p.head.chunked;
}

} // namespace bramleyarch::http
