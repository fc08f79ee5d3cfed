#include "standins.hpp"

#include "common/base64.hpp"
#include "platform/headers.hpp"

#include <boost/asio/post.hpp>

#include <future>
#include <nlohmann/json.hpp>

namespace bramleyarch::test
{

namespace
{

using namespace testing;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr auto poll_interval = 2ms;

std::string argument_of(http_connection const& c, std::string const& name)
{
    std::string const target{c.request.target()};
    auto const mark = name + "=";
    auto at = target.find("?" + mark);
    if (at == std::string::npos)
        at = target.find("&" + mark);
    if (at == std::string::npos)
        return {};
    at += mark.size() + 1;
    return target.substr(at, target.find('&', at) - at);
}

json event_json(store_standin::event const& event)
{
    if (!event.value)
        return {{"Key", event.key}, {"Revision", event.at}, {"Deleted", true}};
    return {{"Key", event.key},
            {"Revision", event.at},
            {"Value", to_base64(*event.value)}};
}

http_response list(store_standin& store, std::string const& after)
{
    std::lock_guard const lock{store.mutex};
    json items = json::array();
    auto at = store.items.upper_bound(after);
    for (; at != store.items.end() && items.size() < store.page; ++at)
        items.push_back({{"Key", at->first},
                         {"Revision", at->second.changed},
                         {"Value", to_base64(at->second.value)}});
    return json_response(200, json{{"Items", items},
                                   {"MorePages", at != store.items.end()},
                                   {"AsOf", store.last}}
                                  .dump());
}

/// Nothing while no event is there.
std::optional<http_response> changes(store_standin& store, revision after)
{
    std::lock_guard const lock{store.mutex};
    if (after < store.forgotten)
        return json_response(410, "{}");
    json events = json::array();
    for (auto const& event : store.events)
    {
        if (event.at > after)
            events.push_back(event_json(event));
    }
    if (events.empty())
        return std::nullopt;
    return json_response(200,
                         json{{"events", events}, {"AsOf", store.last}}.dump());
}

asio::awaitable<http_response> watch(store_standin& store, connection_ptr c,
                                     asio::io_context& io)
{
    revision const after = std::stoull(argument_of(*c, "After"));
    auto const wait =
        std::chrono::milliseconds{std::stoi(argument_of(*c, "WaitMs"))};
    auto const end = std::chrono::steady_clock::now() + wait;
    asio::steady_timer timer{io};
    while (std::chrono::steady_clock::now() < end && !c->gone)
    {
        if (auto seen = changes(store, after))
            co_return std::move(*seen);
        co_await sleep(timer, poll_interval);
    }
    co_return json_response(
        200, json{{"events", json::array()}, {"AsOf", after}}.dump());
}

http_response write(store_standin& store, std::string const& body)
{
    auto const request = json::parse(body);
    for (auto const& item : request["SetKeys"])
        put(store, item["Key"].get<std::string>(),
            from_base64(item["Value"].get<std::string>()).value_or(""));
    return json_response(200, R"({"Revision":1})");
}

asio::awaitable<bool> handle_store(store_standin& store, asio::io_context& io,
                                   connection_ptr c)
{
    auto const path = path_of(*c);
    {
        std::lock_guard const lock{store.mutex};
        ++store.calls[path];
    }
    if (store.fault == store_fault::busy)
        co_return co_await send_response(c, json_response(503, "{}"));
    asio::steady_timer timer{io};
    while (store.fault == store_fault::silent && !c->gone)
        co_await sleep(timer, poll_interval);
    http_response reply = json_response(200, R"({"Lease":7,"TtlMs":9000})");
    if (path == "/kv-range")
        reply = list(store, argument_of(*c, "After"));
    else if (path == "/kv-watch")
        reply = co_await watch(store, c, io);
    else if (path == "/kv-txn")
        reply = write(store, c->request.body());
    co_return co_await send_response(c, std::move(reply));
}

void note_request(server_standin& server, http_connection const& c)
{
    std::lock_guard const lock{server.mutex};
    server.headers.clear();
    for (auto const& field : c.request)
        server.headers[std::string{field.name_string()}] =
            std::string{field.value()};
}

asio::awaitable<bool> handle_server(server_standin& server,
                                    asio::io_context& io, connection_ptr c)
{
    using namespace platform;
    note_request(server, *c);
    auto const id = header(*c, request_id_header);
    auto reply = json_response(200, server.id + " ran " + c->request.body());
    reply.set(std::string{request_id_header}, id);
    if (header(*c, expected_server_header) != server.id)
    {
        reply.result(421);
        co_return co_await send_response(c, std::move(reply));
    }
    if (server.fault == server_fault::sheds)
    {
        reply.result(503);
        reply.set(std::string{not_executed_header}, "1");
        co_return co_await send_response(c, std::move(reply));
    }
    {
        std::lock_guard const lock{server.mutex};
        server.ran.push_back(id);
    }
    if (server.fault != server_fault::no_signature)
        reply.set(std::string{signature_header}, "sig");
    ++server.running;
    asio::steady_timer timer{io};
    while (server.fault == server_fault::silent && !c->gone)
        co_await sleep(timer, poll_interval);
    --server.running;
    if (c->gone)
        ++server.left;
    if (server.fault == server_fault::resets || c->gone)
        co_return false;
    if (server.fault == server_fault::cut)
    {
        if (co_await send_stream_head(c, reply))
            co_await send_chunk(c, "part");
        co_return false;
    }
    co_return co_await send_response(c, std::move(reply));
}

} // namespace

void put(store_standin& store, std::string const& key, std::string value)
{
    std::lock_guard const lock{store.mutex};
    store.items[key] = {value, ++store.last};
    store.events.push_back({store.last, key, std::move(value)});
}

void erase(store_standin& store, std::string const& key)
{
    std::lock_guard const lock{store.mutex};
    store.items.erase(key);
    store.events.push_back({++store.last, key, std::nullopt});
}

void forget_history(store_standin& store)
{
    std::lock_guard const lock{store.mutex};
    store.events.clear();
    store.forgotten = ++store.last;
}

int calls_of(store_standin& store, std::string const& path)
{
    std::lock_guard const lock{store.mutex};
    return store.calls[path];
}

std::vector<std::string> runs_of(server_standin& server)
{
    std::lock_guard const lock{server.mutex};
    return server.ran;
}

std::string server_entry(server_standin const& server, std::string state)
{
    return json{{"Service", "desk"},
                {"Address", "127.0.0.1:" + std::to_string(server.port)},
                {"Zone", "a"},
                {"Slots", 6},
                {"State", std::move(state)},
                {"ColdRemainingMs", 0},
                {"Sequence", 1},
                {"born", 1}}
        .dump();
}

standins::standins() : work_{asio::make_work_guard(io_)}
{
    auto const listener =
        listen(io_, 0,
               [this](connection_ptr c)
               { return handle_store(store, io_, std::move(c)); });
    store_port = listener->port;
    listeners_.push_back(listener);
    thread_ = std::thread{[this] { io_.run(); }};
}

standins::~standins()
{
    io_.stop();
    thread_.join();
}

void standins::serve(server_standin& server)
{
    std::promise<std::uint16_t> port;
    asio::post(io_,
               [&]
               {
                   auto const listener = listen(
                       io_, 0,
                       [this, &server](connection_ptr c)
                       { return handle_server(server, io_, std::move(c)); });
                   listeners_.push_back(listener);
                   port.set_value(listener->port);
               });
    server.port = port.get_future().get();
}

} // namespace bramleyarch::test
