#include "http/client_io.hpp"

#include "http/headers.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace bramleyarch::http
{

namespace
{

/// Largest head of an answer.
constexpr std::size_t max_answer_head_bytes = 64U << 10;

/// Share of the idle time that a server states for which its connection is
/// used: the rest covers the way of the request and timers that fire late.
constexpr double idle_share = 0.5;

/// Bytes held for want of credit beyond which the socket is not read.
constexpr std::size_t max_held_bytes = 64U << 10;

void deliver(client& c)
{
    auto const alive = c.alive;
    c.delivery_due = false;
    while (*alive && !c.events.empty())
    {
        auto event = std::move(c.events.front());
        c.events.pop_front();
        c.options.on_event(std::move(event));
    }
}

/// Time for which the server keeps an idle connection, by its answer's
/// `keep-alive: timeout=SECONDS`.
duration stated_idle_limit(std::vector<header_field> const& headers,
                           duration otherwise)
{
    constexpr std::string_view key = "timeout=";
    auto const text = find_header(headers, "keep-alive");
    auto const at = text.find(key);
    if (at == std::string_view::npos)
        return otherwise;
    int seconds = 0;
    auto const* const begin = text.data() + at + key.size();
    auto const parsed =
        std::from_chars(begin, text.data() + text.size(), seconds);
    if (parsed.ec != std::errc{})
        return otherwise;
    auto const stated = std::chrono::duration<double>{seconds * idle_share};
    return std::min(otherwise, std::chrono::duration_cast<duration>(stated));
}

void on_limit(client& c, server_connection& s);

/// Limit of what the connection waits for.
duration limit_of(server_connection const& s)
{
    if (!s.busy)
        return s.idle_limit;
    return s.stage == stream_stage::connecting ? s.request.connect_limit
                                               : s.request.silence_limit;
}

time_point start_of(server_connection const& s)
{
    return s.busy ? s.active_at : s.idle_since;
}

void arm(client& c, server_connection& s)
{
    net::cancel(*c.loop, s.timer);
    auto const due = start_of(s) + limit_of(s);
    s.timer =
        net::call_after(*c.loop, due - net::clock_now(),
                        [&c, &s]
                        {
                            s.timer = 0;
                            if (net::clock_now() < start_of(s) + limit_of(s))
                                arm(c, s);
                            else
                                on_limit(c, s);
                        });
}

void on_limit(client& c, server_connection& s)
{
    if (!s.busy)
        drop(c, s);
    else if (s.stage == stream_stage::connecting)
        end_failed(c, s, {error_kind::server_connect_failed, "no connection"});
    else if (!s.held.empty())
    {
        // Our own want of credit is not the server's silence.
        s.active_at = net::clock_now();
        arm(c, s);
    }
    else
        end_failed(c, s, {error_kind::server_silent, "no byte in time"});
}

/// Keeps the connection for the next request to its server.
void keep(client& c, server_connection& s)
{
    s.busy = false;
    s.kept = true;
    s.request = {};
    s.idle_since = net::clock_now();
    c.idle[s.to].push_back(s.serial);
    arm(c, s);
}

/// Returns whether a server refuses a request with this status. A faulty server
/// may write such an answer twice. On a kept connection, the second one would
/// pass for the answer to the next request, which the server runs.
bool is_refusal(int status)
{
    constexpr std::array refusals{408, 421, 429, 503};
    return std::ranges::find(refusals, status) != refusals.end();
}

/// The answer is whole: keeps the connection for the next request if it can.
void finish(client& c, server_connection& s, bool by_close = false)
{
    auto const id = s.request.id;
    c.serials.erase(id);
    report(c, response_end{.id = id, .by_close = by_close});
    // The request said `connection: close` if it may not reuse one, so the
    // server closes, whatever its answer says.
    bool const reusable = s.request.may_reuse && s.parser.keep_alive &&
                          !is_refusal(s.parser.head.status) && s.held.empty() &&
                          !s.peer_closed && net::queued(*s.socket) == 0;
    if (!reusable || c.idle[s.to].size() >= c.options.max_idle_per_server)
    {
        drop(c, s);
        return;
    }
    if (std::exchange(s.paused, false))
        net::read(*s.socket, true);
    keep(c, s);
}

/// Returns whether the server closed right after the head of an answer whose
/// end is the end of its connection. It may have stopped there, so the answer
/// does not count as whole.
bool is_cut_after_head(server_connection const& s)
{
    return ends_by_close(s.parser) && s.body_bytes == 0;
}

answer_progress progress_of(server_connection const& s)
{
    if (s.stage == stream_stage::answering)
        return answer_progress::in_body;
    return s.parser.head_bytes > 0 ? answer_progress::in_head
                                   : answer_progress::none;
}

bool on_head(client& c, server_connection& s, message_head const& head)
{
    s.stage = stream_stage::answering;
    s.idle_limit = stated_idle_limit(head.headers, c.options.idle_limit);
    auto headers = head.headers;
    keep_end_to_end(headers);
    if (!std::ranges::all_of(headers, is_valid))
        return false;
    report(c, response_head{.id = s.request.id,
                            .status = head.status,
                            .headers = std::move(headers),
                            .length = head.length});
    return true;
}

/// Reports the bytes as one event with those of the same answer before them, as
/// a server may send pieces of a byte: an event for each takes several hundred
/// times their memory on its way.
void on_body(client& c, server_connection& s, std::string_view bytes)
{
    s.credit -= std::min<std::uint64_t>(s.credit, bytes.size());
    s.body_bytes += bytes.size();
    auto* const last = c.events.empty()
                           ? nullptr
                           : std::get_if<response_bytes>(&c.events.back());
    if (last && last->id == s.request.id)
        last->bytes.append(bytes);
    else
        report(c,
               response_bytes{.id = s.request.id, .bytes = std::string{bytes}});
}

void on_received(client& c, server_connection& s, std::string_view bytes)
{
    if (!s.busy)
    {
        // An answer that nobody asked for.
        drop(c, s);
        return;
    }
    s.active_at = net::clock_now();
    s.held.append(bytes);
    read_answer(c, s);
}

void on_ended(client& c, server_connection& s, net::ending how)
{
    s.socket = nullptr;
    if (!s.busy)
    {
        drop(c, s);
        return;
    }
    if (how == net::ending::refused)
    {
        end_failed(c, s, {error_kind::server_connect_failed, "refused"});
        return;
    }
    if (how == net::ending::closed && s.parser.state == parse_state::body)
    {
        s.peer_closed = true;
        if (!s.held.empty())
            return;
        bool const is_cut = is_cut_after_head(s);
        parse_end(s.parser);
        if (s.parser.state == parse_state::complete && !is_cut)
        {
            finish(c, s, true);
            return;
        }
    }
    end_failed(c, s,
               {error_kind::server_closed,
                how == net::ending::reset ? "reset" : "closed early"});
}

void on_opened(client& c, server_connection& s)
{
    if (!std::exchange(s.checking, false))
    {
        send_request(c, s);
        return;
    }
    report_check(c, {.id = s.request.id, .reachable = true});
    keep(c, s);
}

std::string head_text(server_connection const& s)
{
    auto const& request = s.request;
    auto text =
        fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    if (find_header(request.headers, "host").empty())
        append_header(text, "host",
                      fmt::format("{}:{}", s.to.address, s.to.port));
    for (auto const& header : request.headers)
    {
        if (!is_hop_by_hop(header.name))
            append_header(text, header.name, header.value);
    }
    auto const size = request.body ? request.body->size() : 0;
    bool const bodyless = request.method == "GET" || request.method == "HEAD";
    if (size > 0 || !bodyless)
        append_header(text, "content-length", std::to_string(size));
    if (!request.may_reuse)
        append_header(text, "connection", "close");
    return text + "\r\n";
}

} // namespace

void report(client& c, client_event event)
{
    c.events.push_back(std::move(event));
    if (std::exchange(c.delivery_due, true))
        return;
    net::defer(*c.loop,
               [&c, alive = c.alive]
               {
                   if (*alive)
                       deliver(c);
               });
}

void report_check(client& c, server_checked found)
{
    net::defer(*c.loop,
               [&c, found, alive = c.alive]
               {
                   if (*alive && c.options.on_checked)
                       c.options.on_checked(found);
               });
}

result<server_connection*> open_connection(client& c, endpoint const& to,
                                           duration connect_limit)
{
    if (c.connections.size() >= c.options.max_connections)
        return fail(error_kind::too_many_connections,
                    "all connections to servers are in use");
    auto owned = std::make_unique<server_connection>();
    auto* const s = owned.get();
    s->serial = ++c.last_serial;
    s->to = to;
    s->idle_limit = c.options.idle_limit;
    start(s->parser, message_kind::response, max_answer_head_bytes);
    s->parser.on_head = [&c, s](message_head const& head)
    { return on_head(c, *s, head); };
    s->parser.on_body = [&c, s](std::string_view bytes)
    { on_body(c, *s, bytes); };
    auto const connected = net::connect(
        *c.loop, to,
        {.opened = [&c, s] { on_opened(c, *s); },
         .received = [&c, s](std::string_view bytes)
         { on_received(c, *s, bytes); },
         .written = [s](std::size_t) { s->active_at = net::clock_now(); },
         .ended = [&c, s](net::ending how) { on_ended(c, *s, how); }});
    if (!connected)
        return connected.error();
    s->socket = connected.value();
    c.connections[s->serial] = std::move(owned);
    s->busy = true;
    s->active_at = net::clock_now();
    s->request.connect_limit = connect_limit;
    arm(c, *s);
    return s;
}

result<server_connection*> connection_for(client& c,
                                          client_request const& request)
{
    auto const found = c.idle.find(request.to);
    if (request.may_reuse && found != c.idle.end() && !found->second.empty())
    {
        auto const serial = found->second.back();
        found->second.pop_back();
        auto* const s = c.connections.at(serial).get();
        s->stage = stream_stage::connecting;
        s->peer_closed = false;
        next_message(s->parser);
        return s;
    }
    return open_connection(c, request.to, request.connect_limit);
}

void send_request(client& c, server_connection& s)
{
    s.stage = stream_stage::sending;
    s.active_at = net::clock_now();
    s.body_bytes = 0;
    s.parser.without_body = s.request.method == "HEAD";
    arm(c, s);
    report(c, request_sent{s.request.id});
    net::write(*s.socket, head_text(s));
    if (s.request.body)
        net::write(*s.socket, *s.request.body);
}

void read_answer(client& c, server_connection& s)
{
    std::size_t used = 0;
    while (used < s.held.size() && s.parser.state != parse_state::complete &&
           s.parser.state != parse_state::failed)
    {
        bool const in_body = s.parser.state == parse_state::body;
        if (in_body && s.credit == 0)
            break;
        // The head is parsed byte for byte with what follows it: limit the
        // step so that the body's first bytes stay within the credit.
        auto const step = std::min<std::uint64_t>(
            s.held.size() - used, std::max<std::uint64_t>(s.credit, 1));
        used += parse(s.parser, std::string_view{s.held}.substr(used, step));
    }
    // Once for all steps, which may be small.
    s.held.erase(0, used);
    if (s.parser.state == parse_state::failed)
    {
        end_failed(c, s, {error_kind::server_protocol, "malformed answer"});
        return;
    }
    if (s.parser.state == parse_state::complete)
    {
        finish(c, s);
        return;
    }
    if (s.peer_closed && s.held.empty())
    {
        on_ended(c, s, net::ending::closed);
        return;
    }
    bool const pause = s.held.size() > max_held_bytes;
    if (pause != s.paused && !s.peer_closed)
    {
        s.paused = pause;
        net::read(*s.socket, !pause);
    }
}

void end_failed(client& c, server_connection& s, error cause)
{
    if (s.checking)
    {
        report_check(c, {.id = s.request.id});
        drop(c, s);
        return;
    }
    auto const progress = progress_of(s);
    report(c, response_failed{.id = s.request.id,
                              .cause = std::move(cause),
                              .sent = s.stage != stream_stage::connecting,
                              .kept_connection =
                                  s.kept && progress == answer_progress::none,
                              .progress = progress});
    drop(c, s);
}

void drop(client& c, server_connection& s)
{
    if (s.busy && !s.checking)
        c.serials.erase(s.request.id);
    else if (auto const found = c.idle.find(s.to); found != c.idle.end())
        std::erase(found->second, s.serial);
    net::cancel(*c.loop, s.timer);
    if (s.socket)
        net::close(*s.socket);
    c.connections.erase(s.serial);
}

} // namespace bramleyarch::http
