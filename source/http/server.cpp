#include "http/server.hpp"

#include "http/headers.hpp"
#include "http/server_io.hpp"
#include "http/server_memory.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace bramleyarch::http
{

namespace
{

bool has_no_body(int status)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return status < 200 || status == no_content || status == not_modified;
}

/// Returns whether a connection closes after the answer that starts.
bool closes(server const& s, caller_connection const& c)
{
    return c.refused || c.close_after ||
           (s.reuse_ended && !has_next_request(c));
}

std::string head_text(server const& s, caller_connection const& c)
{
    auto const& start = *c.start;
    auto text = fmt::format("HTTP/1.1 {} {}\r\n", start.status,
                            reason_phrase(start.status));
    for (auto const& header : start.headers)
    {
        if (!is_hop_by_hop(header.name) && is_valid(header))
            append_header(text, header.name, header.value);
    }
    if (start.length && !has_no_body(start.status))
        append_header(text, "content-length", std::to_string(*start.length));
    if (c.chunked)
        append_header(text, "transfer-encoding", "chunked");
    if (closes(s, c))
        append_header(text, "connection", "close");
    return text + "\r\n";
}

} // namespace

void server_deleter::operator()(server* s) const
{
    *s->alive = false;
    net::cancel(*s->loop, s->memory.timer);
    for (auto& [serial, c] : s->connections)
    {
        net::cancel(*s->loop, c->timer);
        net::close(*c->socket);
    }
    if (s->listener)
        net::close(*s->listener);
    delete s;
}

result<server_ptr> make_server(server_options options)
{
    server_ptr s{new server{.options = std::move(options)}};
    s->loop = s->options.loop;
    if (!s->loop)
    {
        auto loop = net::make_loop();
        if (!loop)
            return std::move(loop).as_failure();
        s->loop = std::move(loop).value();
    }
    auto listener = net::listen(*s->loop, s->options.listen,
                                [raw = s.get()](net::connection& socket)
                                { return accept_caller(*raw, socket); });
    if (!listener)
        return std::move(listener).as_failure();
    s->listener = listener.value();
    return s;
}

std::uint16_t port_of(server const& s)
{
    return net::port_of(*s.listener);
}

void limit_body(server& s, std::size_t max_body_bytes)
{
    s.options.max_body_bytes = max_body_bytes;
}

void limit_callers(server& s, caller_limits const& limits)
{
    s.options.max_head_bytes = limits.max_head_bytes;
    s.options.max_body_bytes = limits.max_body_bytes;
    s.options.head_limit = limits.head_limit;
    s.options.idle_limit = limits.idle_limit;
}

void end_reuse(server& s)
{
    s.reuse_ended = true;
}

void close_idle(server& s)
{
    std::vector<caller_connection*> idle;
    for (auto& [serial, c] : s.connections)
    {
        if (c->exchange == 0 && c->parser.state == parse_state::head &&
            c->parser.head_bytes == 0)
            idle.push_back(c.get());
    }
    for (auto* c : idle)
        drop(s, *c);
}

void refuse_unfinished(server& s, error const& cause)
{
    for (auto& [serial, c] : s.connections)
    {
        if (is_unfinished(*c))
            refuse_request(s, *c, cause);
    }
}

void start_answer(server& s, exchange_id id, answer_start start)
{
    auto* const c = connection_of(s, id);
    if (!c || c->start)
        return;
    c->bodyless = c->bodyless || has_no_body(start.status);
    c->chunked = !start.length && !c->bodyless;
    c->start = std::move(start);
    c->close_stated = closes(s, *c);
    net::write(*c->socket, head_text(s, *c));
    restart_timer(s, *c);
    note_wait(*c);
    update_account(s, *c);
}

void send_bytes(server& s, exchange_id id, std::string_view bytes)
{
    auto* const c = connection_of(s, id);
    if (!c || !c->start || c->ended || bytes.empty())
        return;
    c->body_total += bytes.size();
    if (c->bodyless)
        return;
    // A caller takes the bytes beyond the length for the next answer.
    if (c->start->length && c->body_total > *c->start->length)
    {
        report(s, caller_left{id});
        drop(s, *c);
        return;
    }
    if (c->body_queued == 0)
    {
        restart_timer(s, *c);
        note_wait(*c);
    }
    c->body_queued += bytes.size();
    if (!c->chunked)
    {
        net::write(*c->socket, bytes);
        update_account(s, *c);
        return;
    }
    auto text = fmt::format("{:x}\r\n", bytes.size());
    text.append(bytes).append("\r\n");
    net::write(*c->socket, text);
    update_account(s, *c);
}

void end_answer(server& s, exchange_id id)
{
    auto* const c = connection_of(s, id);
    if (!c || !c->start || c->ended)
        return;
    auto const& length = c->start->length;
    if (length && *length != c->body_total && !c->bodyless)
    {
        drop(s, *c);
        return;
    }
    c->ended = true;
    if (c->chunked)
        net::write(*c->socket, "0\r\n\r\n");
    if (net::queued(*c->socket) == 0)
        finish_exchange(s, *c);
}

void break_answer(server& s, exchange_id id)
{
    auto* const c = connection_of(s, id);
    if (!c)
        return;
    c->broken = true;
    if (net::queued(*c->socket) == 0)
        drop(s, *c);
}

void send_answer(server& s, exchange_id id, answer_start start,
                 std::string_view body)
{
    start.length = body.size();
    start_answer(s, id, std::move(start));
    send_bytes(s, id, body);
    end_answer(s, id);
}

std::size_t queued_bytes(server const& s, exchange_id id)
{
    auto const found = s.exchanges.find(id);
    return found == s.exchanges.end()
               ? 0
               : s.connections.at(found->second)->body_queued;
}

std::size_t held_bytes(server const& s)
{
    return s.memory.held;
}

std::size_t open_exchanges(server const& s)
{
    return s.exchanges.size();
}

std::size_t unfinished_requests(server const& s)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(s.connections, [](auto const& entry)
                              { return is_unfinished(*entry.second); }));
}

void wait(server& s, duration limit)
{
    net::wait(*s.loop, limit);
}

void wake(server& s)
{
    net::wake(*s.loop);
}

} // namespace bramleyarch::http
