#include "standins.hpp"

#include "common/base64.hpp"
#include "platform/headers.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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

/// Returns a value from the query string, or an empty string if the name is
/// missing.
std::string query_value(http_connection const& connection,
                        std::string const& name)
{
    std::string const target{connection.request.target()};
    auto const prefix = name + "=";
    auto position = target.find("?" + prefix);
    if (position == std::string::npos)
        position = target.find("&" + prefix);
    if (position == std::string::npos)
        return {};
    position += prefix.size() + 1;
    return target.substr(position, target.find('&', position) - position);
}

json event_json(store_standin::event const& event)
{
    if (!event.value)
        return {{"Key", event.key}, {"Revision", event.at}, {"Deleted", true}};
    return {{"Key", event.key},
            {"Revision", event.at},
            {"Value", to_base64(*event.value)}};
}

json item_json(std::string const& key, store_standin::item const& item)
{
    return {{"Key", key},
            {"Value", to_base64(item.value)},
            {"Revision", item.changed},
            {"CreatedRev", item.created},
            {"Lease", 0}};
}

http_response list_page(store_standin& store, std::string const& prefix,
                        std::string const& after_key)
{
    std::lock_guard const lock{store.mutex};
    json items = json::array();
    auto item = after_key.empty() ? store.items.lower_bound(prefix)
                                  : store.items.upper_bound(after_key);
    auto const ends = [&]
    { return item == store.items.end() || !item->first.starts_with(prefix); };
    for (; !ends() && items.size() < store.page_size; ++item)
        items.push_back(item_json(item->first, item->second));
    return json_response(200, json{{"Items", items},
                                   {"MorePages", !ends()},
                                   {"AsOf", store.last_revision}}
                                  .dump());
}

http_response read_item(store_standin& store, std::string const& key)
{
    std::lock_guard const lock{store.mutex};
    auto const item = store.items.find(key);
    if (item == store.items.end())
        return json_response(404, json{{"AsOf", store.last_revision}}.dump());
    auto response = item_json(key, item->second);
    response["AsOf"] = store.last_revision;
    return json_response(200, response.dump());
}

/// Returns std::nullopt if no key with the prefix changed after a revision.
std::optional<http_response>
changes_after(store_standin& store, std::string const& prefix, revision after)
{
    std::lock_guard const lock{store.mutex};
    if (after < store.compacted)
        return json_response(410, "{}");
    json events = json::array();
    for (auto const& event : store.events)
    {
        if (event.at > after && event.key.starts_with(prefix))
            events.push_back(event_json(event));
    }
    if (events.empty())
        return std::nullopt;
    return json_response(
        200, json{{"events", events}, {"AsOf", store.last_revision}}.dump());
}

/// Waits for events after a revision, for at most the time in the request.
asio::awaitable<http_response>
watch(store_standin& store, connection_ptr connection, asio::io_context& io)
{
    revision const after = std::stoull(query_value(*connection, "After"));
    auto const prefix = query_value(*connection, "PathPrefix");
    auto const wait = std::chrono::milliseconds{
        std::stoi(query_value(*connection, "WaitMs"))};
    auto const end = std::chrono::steady_clock::now() + wait;
    asio::steady_timer timer{io};
    while (std::chrono::steady_clock::now() < end && !connection->gone)
    {
        if (auto response = changes_after(store, prefix, after))
            co_return std::move(*response);
        co_await sleep(timer, poll_interval);
    }
    co_return json_response(
        200, json{{"events", json::array()}, {"AsOf", after}}.dump());
}

/// Writes a key while the caller holds the mutex.
void put_locked(store_standin& store, std::string const& key, std::string value)
{
    auto& item = store.items[key];
    item.value = value;
    item.changed = ++store.last_revision;
    if (item.created == 0)
        item.created = item.changed;
    store.events.push_back({store.last_revision, key, std::move(value)});
}

/// Executes a transaction, unless a key has another revision than expected; 0:
/// the key is expected not to exist.
http_response apply_write(store_standin& store, std::string const& body)
{
    std::lock_guard const lock{store.mutex};
    auto const request = json::parse(body);
    json present = json::array();
    bool holds = true;
    for (auto const& expected : request["ExpectedRevision"])
    {
        auto const key = expected["Key"].get<std::string>();
        auto const item = store.items.find(key);
        bool const exists = item != store.items.end();
        if (exists)
            present.push_back(item_json(key, item->second));
        holds = holds && (exists ? item->second.changed : 0) ==
                             expected["Revision"].get<revision>();
    }
    if (!holds)
        return json_response(412, json{{"Items", present}}.dump());
    for (auto const& item : request["SetKeys"])
        put_locked(store, item["Key"].get<std::string>(),
                   from_base64(item["Value"].get<std::string>()).value_or(""));
    return json_response(200, json{{"Revision", store.last_revision}}.dump());
}

/// Executes a write `delay` after its connection was closed.
asio::awaitable<void> apply_late(store_standin& store, asio::io_context& io,
                                 std::string body,
                                 std::chrono::milliseconds delay)
{
    asio::steady_timer timer{io};
    co_await sleep(timer, delay);
    apply_write(store, body);
}

/// Handles a request to the store.
asio::awaitable<bool> handle_store(store_standin& store, asio::io_context& io,
                                   connection_ptr connection)
{
    auto const path = path_of(*connection);
    {
        std::lock_guard const lock{store.mutex};
        ++store.calls[path];
    }
    if (store.fault == store_fault::busy)
        co_return co_await send_response(connection, json_response(503, "{}"));
    asio::steady_timer timer{io};
    while (store.fault == store_fault::silent && !connection->gone)
        co_await sleep(timer, poll_interval);
    http_response response = json_response(200, R"({"Lease":7,"TtlMs":9000})");
    if (path == "/kv-range")
        response = list_page(store, query_value(*connection, "PathPrefix"),
                             query_value(*connection, "After"));
    else if (path == "/kv-key")
        response = read_item(store, query_value(*connection, "Key"));
    else if (path == "/kv-watch")
        response = co_await watch(store, connection, io);
    else if (path == "/kv-txn")
    {
        auto const fault = store.fault.load();
        if (fault == store_fault::late_writes)
        {
            asio::co_spawn(
                io, apply_late(store, io, connection->request.body(), 1s),
                asio::detached);
            co_return false;
        }
        response = apply_write(store, connection->request.body());
        if (fault == store_fault::unanswered_writes)
            co_return false;
    }
    co_return co_await send_response(connection, std::move(response));
}

void record_headers(server_standin& server, http_connection const& connection)
{
    std::lock_guard const lock{server.mutex};
    server.headers.clear();
    for (auto const& field : connection.request)
        server.headers[std::string{field.name_string()}] =
            std::string{field.value()};
}

constexpr std::string_view stream_folder = "/chat/";

/// Returns a time in ms from the query string, or `otherwise`.
std::chrono::milliseconds query_time(http_connection const& connection,
                                     std::string const& name,
                                     std::chrono::milliseconds otherwise)
{
    auto const text = query_value(connection, name);
    return text.empty() ? otherwise
                        : std::chrono::milliseconds{std::stoi(text)};
}

/// Sends as many events as the request asks for, each at its own time, so that
/// a late one does not delay those after it.
asio::awaitable<bool> send_events(server_standin& server, asio::io_context& io,
                                  connection_ptr connection,
                                  http_response response)
{
    auto const path = path_of(*connection);
    auto const events =
        std::stoi(path.substr(path.find(stream_folder) + stream_folder.size()));
    auto const gap = query_time(*connection, "gap", server.event_gap);
    auto const begin =
        std::chrono::steady_clock::now() + query_time(*connection, "wait", 0ms);
    auto const size = query_value(*connection, "bytes");
    auto const data = size.empty() ? std::string{"token"}
                                   : std::string(std::stoul(size), 'x');
    response.set(http::field::content_type, "text/event-stream");
    if (!co_await send_stream_head(connection, std::move(response)))
        co_return false;
    asio::steady_timer timer{io};
    for (int id = 1; id <= events && !connection->gone; ++id)
    {
        auto const due = begin + id * gap;
        co_await sleep(timer, due - std::chrono::steady_clock::now());
        if (!co_await send_chunk(connection, "id: " + std::to_string(id) +
                                                 "\ndata: " + data + "\n\n"))
            co_return false;
    }
    if (connection->gone)
        co_return false;
    co_return co_await send_chunk(connection, "");
}

asio::awaitable<bool> handle_server(server_standin& server,
                                    std::set<std::string>& rejected,
                                    asio::io_context& io,
                                    connection_ptr connection)
{
    using namespace platform;
    record_headers(server, *connection);
    auto const id = header(*connection, request_id_header);
    auto response =
        json_response(200, server.id + " ran " + connection->request.body());
    response.set(std::string{request_id_header}, id);
    if (header(*connection, expected_server_header) != server.id)
    {
        response.result(421);
        co_return co_await send_response(connection, std::move(response));
    }
    bool const rejects = !query_value(*connection, "reject").empty() &&
                         rejected.insert(id).second;
    asio::steady_timer timer{io};
    if (rejects)
        co_await sleep(timer, query_time(*connection, "reject", 0ms));
    if (server.fault == server_fault::not_executed || rejects)
    {
        response.result(503);
        response.set(std::string{not_executed_header}, "1");
        co_return co_await send_response(connection, std::move(response));
    }
    {
        std::lock_guard const lock{server.mutex};
        server.executed.push_back(id);
    }
    if (server.fault != server_fault::no_signature)
        response.set(std::string{signature_header}, "sig");
    if (path_of(*connection).find(stream_folder) != std::string::npos)
        co_return co_await send_events(server, io, connection,
                                       std::move(response));
    ++server.running;
    while (server.fault == server_fault::silent && !connection->gone)
        co_await sleep(timer, poll_interval);
    --server.running;
    if (connection->gone)
        ++server.abandoned;
    if (server.fault == server_fault::reset || connection->gone)
        co_return false;
    if (server.fault == server_fault::failing)
        response.result(500);
    if (server.fault == server_fault::cut_answer)
    {
        if (co_await send_stream_head(connection, response))
            co_await send_chunk(connection, "part");
        co_return false;
    }
    co_return co_await send_response(connection, std::move(response));
}

} // namespace

void put(store_standin& store, std::string const& key, std::string value)
{
    std::lock_guard const lock{store.mutex};
    put_locked(store, key, std::move(value));
}

std::optional<std::string> value_of(store_standin& store,
                                    std::string const& key)
{
    std::lock_guard const lock{store.mutex};
    auto const item = store.items.find(key);
    if (item == store.items.end())
        return std::nullopt;
    return item->second.value;
}

void erase(store_standin& store, std::string const& key)
{
    std::lock_guard const lock{store.mutex};
    store.items.erase(key);
    store.events.push_back({++store.last_revision, key, std::nullopt});
}

void compact_history(store_standin& store)
{
    std::lock_guard const lock{store.mutex};
    store.events.clear();
    store.compacted = ++store.last_revision;
}

int call_count(store_standin& store, std::string const& path)
{
    std::lock_guard const lock{store.mutex};
    return store.calls[path];
}

std::vector<std::string> executed_requests(server_standin& server)
{
    std::lock_guard const lock{server.mutex};
    return server.executed;
}

std::string encode_server_entry(server_standin const& server, std::string state)
{
    json entry{{"Service", "desk"},
               {"Address", "127.0.0.1:" + std::to_string(server.port)},
               {"Zone", "a"},
               {"Slots", 6},
               {"State", std::move(state)},
               {"ColdRemainingMs", 0},
               {"Sequence", 1},
               {"born", 1}};
    if (!server.version.empty())
        entry["Version"] = server.version;
    return entry.dump();
}

standins::standins() : work_{asio::make_work_guard(io_)}
{
    auto const listener =
        listen(io_, 0,
               [this](connection_ptr connection)
               { return handle_store(store, io_, std::move(connection)); });
    store_port = listener->port;
    listeners_.push_back(listener);
    thread_ = std::thread{[this] { io_.run(); }};
}

standins::~standins()
{
    io_.stop();
    thread_.join();
}

void standins::start_server(server_standin& server)
{
    std::promise<std::uint16_t> port;
    asio::post(io_,
               [&]
               {
                   auto const listener =
                       listen(io_, 0,
                              [this, &server](connection_ptr connection) {
                                  return handle_server(server, rejected_, io_,
                                                       std::move(connection));
                              });
                   listeners_.push_back(listener);
                   port.set_value(listener->port);
               });
    server.port = port.get_future().get();
}

} // namespace bramleyarch::test
