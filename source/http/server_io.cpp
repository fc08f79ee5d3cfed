#include "http/server_io.hpp"

#include "http/headers.hpp"
#include "http/server_memory.hpp"

#include <algorithm>
#include <utility>

namespace bramleyarch::http
{

namespace
{

/// Bytes of further requests that are kept while one is being answered;
/// beyond this the connection is not read.
constexpr std::size_t max_pending_bytes = 64U << 10;

void deliver(server& s)
{
    auto const alive = s.alive;
    s.delivery_due = false;
    while (*alive && !s.events.empty())
    {
        auto event = std::move(s.events.front());
        s.events.pop_front();
        s.options.on_event(std::move(event));
    }
}

exchange_id open_exchange(server& s, caller_connection& c)
{
    c.exchange = ++s.last_exchange;
    s.exchanges[c.exchange] = c.serial;
    return c.exchange;
}

/// Checks of a head that the parser accepts. Fails with the reason.
result<void> check_head(server const& s, message_head const& head)
{
    if (head.minor_version != 1)
        return fail(error_kind::invalid_request, "HTTP/1.1 is needed");
    if (head.method == "CONNECT")
        return fail(error_kind::invalid_request, "CONNECT is not served");
    auto const hosts = std::ranges::count(head.headers, std::string{"host"},
                                          &header_field::name);
    if (hosts != 1)
        return fail(error_kind::invalid_request, "one host header is needed");
    if (!std::ranges::all_of(head.headers, is_valid))
        return fail(error_kind::invalid_request, "malformed header");
    if (head.length && *head.length > s.options.max_body_bytes)
        return fail(error_kind::body_too_large, "stated length");
    return boost::outcome_v2::success();
}

void on_head(server& s, caller_connection& c, message_head const& head)
{
    if (auto const checked = check_head(s, head); !checked)
    {
        refuse_request(s, c, checked.error());
        return;
    }
    count_head(c, head);
    if (is_exhausted(s, c))
    {
        refuse_for_memory(s, c);
        return;
    }
    restart_timer(s, c);
    if (to_lower(find_header(head.headers, "expect")) == "100-continue")
        net::write(*c.socket, "HTTP/1.1 100 Continue\r\n\r\n");
}

void on_body(server& s, caller_connection& c, std::string_view bytes)
{
    if (c.refused)
        return;
    if (c.body.size() + bytes.size() > s.options.max_body_bytes)
        refuse_request(s, c, {error_kind::body_too_large, "body in chunks"});
    else
        append_body(s, c, bytes);
}

void hand_out(server& s, caller_connection& c)
{
    auto& head = c.parser.head;
    c.bodyless = head.method == "HEAD";
    c.close_after = c.close_after || !c.parser.keep_alive;
    keep_end_to_end(head.headers);
    auto const id = open_exchange(s, c);
    c.memory.request = c.body.capacity();
    c.memory.preferred = false;
    report(s, request_received{.id = id,
                               .method = std::move(head.method),
                               .target = std::move(head.target),
                               .headers = std::move(head.headers),
                               .body = std::make_shared<std::string const>(
                                   std::exchange(c.body, {}))});
    restart_timer(s, c);
}

void read_message(server& s, caller_connection& c, std::string_view bytes)
{
    bool const begins = c.parser.state == parse_state::head &&
                        c.parser.head_bytes == 0 && !bytes.empty();
    auto const used = parse(c.parser, bytes);
    if (begins)
        restart_timer(s, c);
    if (c.refused)
        return;
    if (c.parser.state == parse_state::failed)
    {
        refuse_request(
            s, c,
            c.parser.head_too_large
                ? error{error_kind::header_too_large, "head of the request"}
                : error{error_kind::invalid_request, "not HTTP/1.1"});
        return;
    }
    if (c.parser.state != parse_state::complete)
        return;
    c.pending.append(bytes.substr(used));
    hand_out(s, c);
}

void on_received(server& s, caller_connection& c, std::string_view bytes)
{
    if (c.refused)
        return;
    note_progress(s, c, bytes.size());
    if (c.exchange == 0)
    {
        read_message(s, c, bytes);
        update_account(s, c);
        pause_if_short(s, c);
        return;
    }
    c.pending.append(bytes);
    update_account(s, c);
    if (c.pending.size() > max_pending_bytes || is_short(s, c))
    {
        c.reading_off = true;
        net::read(*c.socket, false);
    }
}

void on_taken(server& s, caller_connection& c, std::size_t bytes)
{
    if (c.exchange == 0)
        return;
    auto const left = net::queued(*c.socket);
    auto const taken =
        left == 0 ? c.body_queued : std::min(bytes, c.body_queued);
    c.body_queued -= taken;
    restart_timer(s, c);
    note_progress(s, c, bytes);
    update_account(s, c);
    if (taken > 0)
        report(s, bytes_taken{.id = c.exchange, .bytes = taken});
    if (left > 0)
        return;
    if (c.broken)
        drop(s, c);
    else if (c.ended)
        finish_exchange(s, c);
}

/// Forgets the exchange of a connection that is over, telling its user.
void forget_exchange(server& s, caller_connection& c)
{
    auto const id = std::exchange(c.exchange, 0);
    if (id == 0)
        return;
    s.exchanges.erase(id);
    if (!c.broken)
        report(s, caller_left{id});
}

void forget(server& s, caller_connection& c)
{
    net::cancel(*s.loop, c.timer);
    release_account(s, c);
    s.connections.erase(c.serial);
}

void on_limit(server& s, caller_connection& c)
{
    c.timer = 0;
    bool const unsent = net::queued(*c.socket) > 0;
    if (c.exchange != 0 && !unsent)
        return; // The answer is awaited; that is not the caller's delay.
    if (c.exchange == 0 && c.memory.paused)
    {
        refuse_for_memory(s, c);
        return;
    }
    if (c.exchange == 0 && c.parser.state == parse_state::body)
    {
        refuse_request(s, c,
                       {error_kind::request_timeout, "body not whole in time"});
        return;
    }
    abandon(s, c);
}

duration limit_of(server const& s, caller_connection const& c)
{
    if (c.exchange != 0)
        return s.options.write_limit;
    if (c.parser.state == parse_state::body)
        return s.options.body_limit;
    return c.parser.head_bytes > 0 || !c.answered ? s.options.head_limit
                                                  : s.options.idle_limit;
}

void arm(server& s, caller_connection& c, time_point due)
{
    c.armed = due;
    c.timer = net::call_after(*s.loop, due - net::clock_now(),
                              [&s, &c]
                              {
                                  c.timer = 0;
                                  auto const limit = c.since + limit_of(s, c);
                                  if (net::clock_now() >= limit)
                                      on_limit(s, c);
                                  else
                                      arm(s, c, limit);
                              });
}

} // namespace

bool has_next_request(caller_connection const& c)
{
    return c.pending.find_first_not_of("\r\n") != std::string::npos;
}

bool is_unfinished(caller_connection const& c)
{
    return c.exchange == 0 && !c.refused &&
           (c.parser.state == parse_state::body || c.parser.head_bytes > 0);
}

void refuse_request(server& s, caller_connection& c, error cause)
{
    c.refused = true;
    std::string{}.swap(c.body);
    c.memory.preferred = false;
    if (std::exchange(c.memory.paused, false))
        net::read(*c.socket, true);
    update_account(s, c);
    report(s, request_refused{.id = open_exchange(s, c),
                              .cause = std::move(cause)});
}

void report(server& s, server_event event)
{
    s.events.push_back(std::move(event));
    if (std::exchange(s.delivery_due, true))
        return;
    net::defer(*s.loop,
               [&s, alive = s.alive]
               {
                   if (*alive)
                       deliver(s);
               });
}

caller_connection* connection_of(server& s, exchange_id id)
{
    auto const found = s.exchanges.find(id);
    return found == s.exchanges.end() ? nullptr
                                      : s.connections.at(found->second).get();
}

net::connection_events accept_caller(server& s, net::connection& socket)
{
    if (s.connections.size() >= s.options.max_connections && !close_idlest(s))
    {
        report(s, connection_refused{});
        net::close(socket);
        return {};
    }
    report(s, connection_accepted{});
    auto owned = std::make_unique<caller_connection>();
    auto* const c = owned.get();
    c->owner = &s;
    c->serial = ++s.last_serial;
    c->socket = &socket;
    c->memory.address = net::peer_address(socket);
    note_wait(*c);
    start(c->parser, message_kind::request, s.options.max_head_bytes);
    c->parser.on_head = [&s, c](message_head const& head)
    {
        on_head(s, *c, head);
        return !c->refused;
    };
    c->parser.on_body = [&s, c](std::string_view bytes)
    { on_body(s, *c, bytes); };
    s.connections[c->serial] = std::move(owned);
    update_account(s, *c);
    restart_timer(s, *c);
    return {.received = [&s, c](std::string_view bytes)
            { on_received(s, *c, bytes); },
            .written = [&s, c](std::size_t bytes) { on_taken(s, *c, bytes); },
            .ended =
                [&s, c](net::ending)
            {
                forget_exchange(s, *c);
                forget(s, *c);
            }};
}

void abandon(server& s, caller_connection& c)
{
    forget_exchange(s, c);
    net::close(*c.socket);
    forget(s, c);
}

void drop(server& s, caller_connection& c)
{
    s.exchanges.erase(c.exchange);
    net::close(*c.socket);
    forget(s, c);
}

void finish_exchange(server& s, caller_connection& c)
{
    auto const id = std::exchange(c.exchange, 0);
    s.exchanges.erase(id);
    report(s, answer_sent{id});
    // A request that came behind an answer which did not state the close is
    // answered.
    bool const is_awaited = !c.close_stated && has_next_request(c);
    bool const closing =
        c.refused || c.close_after || (s.reuse_ended && !is_awaited);
    if (closing)
    {
        net::finish(*c.socket);
        forget(s, c);
        return;
    }
    c.start.reset();
    c.chunked = c.bodyless = c.ended = false;
    c.body_total = 0;
    c.body_queued = 0;
    c.memory.head = 0;
    c.memory.request = 0;
    c.answered = true;
    next_message(c.parser);
    if (std::exchange(c.reading_off, false))
        net::read(*c.socket, true);
    restart_timer(s, c);
    auto const pending = std::exchange(c.pending, {});
    note_wait(c);
    if (!pending.empty())
        read_message(s, c, pending);
    update_account(s, c);
}

void restart_timer(server& s, caller_connection& c)
{
    c.since = net::clock_now();
    auto const due = c.since + limit_of(s, c);
    // Progress does not move the timer: it looks again when it is due.
    if (c.timer != 0 && c.armed <= due)
        return;
    net::cancel(*s.loop, c.timer);
    arm(s, c, due);
}

} // namespace bramleyarch::http
