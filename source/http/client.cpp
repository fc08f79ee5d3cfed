#include "http/client.hpp"

#include "http/client_io.hpp"
#include "http/headers.hpp"

#include <algorithm>
#include <utility>

namespace bramleyarch::http
{

namespace
{

/// Largest head of a request that is sent; servers commonly take 16 KiB.
constexpr std::size_t max_sent_head_bytes = 64U << 10;

bool is_sendable(client_request const& request)
{
    if (!request.target.starts_with('/') ||
        request.target.find_first_of(" \r\n") != std::string::npos ||
        !is_valid({request.method, ""}) ||
        !is_valid({"target", request.target}))
        return false;
    std::size_t size = request.target.size();
    for (auto const& header : request.headers)
        size += header.name.size() + header.value.size();
    return size <= max_sent_head_bytes &&
           std::all_of(request.headers.begin(), request.headers.end(),
                       is_valid);
}

void fail_unsent(client& c, std::uint64_t id, error_kind kind,
                 std::string detail)
{
    report(c, response_failed{
                  .id = id, .cause = {kind, std::move(detail)}, .sent = false});
}

server_connection* find(client& c, std::uint64_t id)
{
    auto const found = c.serials.find(id);
    return found == c.serials.end() ? nullptr
                                    : c.connections.at(found->second).get();
}

} // namespace

void client_deleter::operator()(client* c) const
{
    *c->alive = false;
    for (auto& [serial, s] : c->connections)
    {
        net::cancel(*c->loop, s->timer);
        if (s->socket)
            net::close(*s->socket);
    }
    delete c;
}

result<client_ptr> make_client(client_options options)
{
    client_ptr c{new client{.options = std::move(options)}};
    c->loop = c->options.loop;
    if (c->loop)
        return c;
    auto loop = net::make_loop();
    if (!loop)
        return std::move(loop).as_failure();
    c->loop = std::move(loop).value();
    return c;
}

void open(client& c, client_request request)
{
    auto const id = request.id;
    if (!is_sendable(request))
    {
        fail_unsent(c, id, error_kind::invalid_request, "head can't be sent");
        return;
    }
    auto const opened = connection_for(c, request);
    if (!opened)
    {
        fail_unsent(c, id, opened.error().kind, opened.error().detail);
        return;
    }
    auto* const s = opened.value();
    c.serials[id] = s->serial;
    s->busy = true;
    s->credit = request.credit;
    s->request = std::move(request);
    if (s->kept)
        send_request(c, *s);
}

void check(client& c, std::uint64_t id, endpoint const& to, duration limit)
{
    auto const opened = open_connection(c, to, limit);
    if (!opened)
    {
        report_check(c, {.id = id,
                         .attempted = opened.error().kind !=
                                      error_kind::too_many_connections});
        return;
    }
    auto* const s = opened.value();
    s->checking = true;
    s->request.id = id;
}

void grant(client& c, std::uint64_t id, std::uint64_t bytes)
{
    auto* const s = find(c, id);
    if (!s)
        return;
    s->credit += std::min(bytes, UINT64_MAX - s->credit);
    s->active_at = net::clock_now();
    if (s->held.empty())
        return;
    net::defer(*c.loop,
               [&c, id, alive = c.alive]
               {
                   auto* const waiting = *alive ? find(c, id) : nullptr;
                   if (waiting)
                       read_answer(c, *waiting);
               });
}

void close(client& c, std::uint64_t id)
{
    std::erase_if(c.events,
                  [id](client_event const& event) {
                      return std::visit(
                          [id](auto const& e) { return e.id == id; }, event);
                  });
    if (auto* const s = find(c, id))
        drop(c, *s);
}

void wait(client& c, duration limit)
{
    net::wait(*c.loop, limit);
}

void wake(client& c)
{
    net::wake(*c.loop);
}

} // namespace bramleyarch::http
