/// Measures the HTTP path of a router: streamed events from backend servers
/// through the backend and front end services to callers. Prints events per
/// second of processor time of the two services' tasks and the relay between
/// them, and the time to the first byte that the path adds.
#include "services/backend/backend_service.hpp"
#include "services/front/front_service.hpp"

#include "common/digest.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "kernel/kernel.hpp"
#include "services/messages/names.hpp"

#include <algorithm>
#include <ctime>
#include <fmt/format.h>
#include <mutex>

using namespace bramleyarch;
using namespace bramleyarch::services;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t streams = 200;
int events_per_stream = 2'000; ///< Second argument.
constexpr std::string_view event_text =
    "data: {\"choices\":[{\"delta\":{\"content\":\"word\"}}]}\n\n";

double source_thread_cpu_s(std::thread& thread)
{
    clockid_t clock{};
    pthread_getcpuclockid(thread.native_handle(), &clock);
    timespec spent{};
    clock_gettime(clock, &spent);
    return double(spent.tv_sec) + double(spent.tv_nsec) / 1e9;
}

double thread_cpu_s()
{
    timespec spent{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return double(spent.tv_sec) + double(spent.tv_nsec) / 1e9;
}

/// Streams events as fast as callers take them, one at a time in turns.
struct event_source
{
    http::server_ptr server;
    std::map<http::exchange_id, int> open;

    event_source()
    {
        server = http::make_server({.on_event = [this](http::server_event e)
                                    { take(std::move(e)); },
                                    .listen = {"127.0.0.1", 0}})
                     .value();
    }

    void take(http::server_event event)
    {
        if (auto const* request = std::get_if<http::request_received>(&event))
        {
            http::start_answer(
                *server, request->id,
                {.headers = {{"content-type", "text/event-stream"}}});
            http::send_bytes(*server, request->id, event_text);
            open[request->id] = 1;
        }
    }

    /// One event on every stream.
    void step()
    {
        for (auto at = open.begin(); at != open.end();)
        {
            http::send_bytes(*server, at->first, event_text);
            if (++at->second < events_per_stream)
            {
                ++at;
                continue;
            }
            http::end_answer(*server, at->first);
            at = open.erase(at);
        }
    }
};

void run_source(event_source& source, std::atomic<bool> const& stop,
                duration pace)
{
    auto next = std::chrono::steady_clock::now();
    while (!stop)
    {
        auto const left = next - std::chrono::steady_clock::now();
        http::wait(*source.server, std::max<duration>(left, 0ns));
        if (std::chrono::steady_clock::now() < next)
            continue;
        next += pace;
        source.step();
    }
}

/// Stands for routing and owner: passes messages on and decides nothing.
struct relay_entry
{
    routed_request request;
    answer_sink reply;
    std::uint64_t chunks = 0;
    std::uint64_t bytes = 0;
};

struct relay_shared
{
    std::mutex mutex; ///< The two fakes run as two tasks.
    std::map<attempt_id, relay_entry> entries;
};

struct relay_state
{
    std::shared_ptr<relay_shared> shared;
    endpoint source;
    kernel::address<backend_message> backend;
};

void routing_start(relay_state& state, kernel::context<routing_message>& ctx)
{
    state.backend =
        ctx.names->find<backend_message>(to_name(service_name::backend));
}

void routing_receive(relay_state& state, kernel::context<routing_message>& ctx,
                     routing_message message)
{
    if (auto* took = std::get_if<answer_bytes_consumed>(&message))
        send(state.backend,
             grant_backend_credit{{took->request, 1}, took->bytes});
    auto* submitted = std::get_if<submit_request>(&message);
    if (!submitted)
        return;
    auto const& r = submitted->request;
    attempt_id const attempt{r.id, 1};
    {
        std::lock_guard const lock{state.shared->mutex};
        state.shared->entries[attempt] = {r, std::move(submitted->reply)};
    }
    send(state.backend, dispatch{.attempt = attempt,
                                 .address = state.source,
                                 .method = r.method,
                                 .target = r.target,
                                 .headers = r.headers,
                                 .body = r.body,
                                 .credit = initial_credit_bytes,
                                 .silence_limit = 20s,
                                 .deadline = now(ctx) + 600s});
}

void owner_receive(relay_state& state, kernel::context<owner_message>&,
                   owner_message message)
{
    std::lock_guard const lock{state.shared->mutex};
    auto& entries = state.shared->entries;
    if (auto* head = std::get_if<backend_head>(&message))
        entries.at(head->attempt)
            .reply(answer_head{.attempt = head->attempt,
                               .status = head->status,
                               .headers = std::move(head->headers)});
    if (auto* chunk = std::get_if<backend_chunk>(&message))
    {
        auto& entry = entries.at(chunk->attempt);
        entry.bytes += chunk->bytes.size();
        entry.reply(answer_chunk{chunk->attempt, entry.chunks++,
                                 std::move(chunk->bytes)});
    }
    if (auto* end = std::get_if<backend_end>(&message))
    {
        auto& entry = entries.at(end->attempt);
        entry.reply(answer_end{end->attempt, entry.chunks, entry.bytes});
    }
    if (auto* failed = std::get_if<backend_failed>(&message))
        fmt::print("failed: {}\n", describe(failed->cause));
}

struct caller_result
{
    std::uint64_t bytes = 0;
    std::uint64_t ended = 0;
    std::uint64_t failed = 0;
    std::vector<double> first_ms;
};

caller_result call(endpoint to, std::uint64_t count)
{
    caller_result out;
    std::map<std::uint64_t, std::chrono::steady_clock::time_point> begun;
    auto client =
        http::make_client(
            {.on_event =
                 [&](http::client_event event)
             {
                 if (auto const* b = std::get_if<http::response_bytes>(&event))
                 {
                     out.bytes += b->bytes.size();
                     auto const found = begun.find(b->id);
                     if (found == begun.end())
                         return;
                     out.first_ms.push_back(
                         std::chrono::duration<double, std::milli>(
                             std::chrono::steady_clock::now() - found->second)
                             .count());
                     begun.erase(found);
                 }
                 if (std::holds_alternative<http::response_end>(event))
                     ++out.ended;
                 if (std::holds_alternative<http::response_failed>(event))
                     ++out.failed;
             }})
            .value();
    auto const body = std::make_shared<std::string const>(
        R"({"model":"fit","stream":true,"messages":[{"role":"user"}]})");
    for (std::uint64_t id = 1; id <= count; ++id)
    {
        begun[id] = std::chrono::steady_clock::now();
        http::open(*client, {.id = id,
                             .to = to,
                             .method = "POST",
                             .target = "/v1/chat/completions",
                             .headers = {{"authorization", "Bearer key"}},
                             .body = body});
        for (int n = 0; n < 5; ++n)
            http::wait(*client, 1ms);
    }
    while (out.ended + out.failed < count)
        http::wait(*client, 1s);
    return out;
}

config_snapshot make_config()
{
    config::document document{.version = 1};
    document.teams = {{.id = {"t"}, .api_key_digests = {sha256_hex("key")}}};
    document.services = {{.id = {"advisor"},
                          .kind = config::service_kind::model,
                          .path_prefix = "/v1",
                          .models = {"fit"},
                          .default_kind = request_kind::idempotent}};
    return std::make_shared<config::document const>(std::move(document));
}

double quantile(std::vector<double> values, double q)
{
    std::sort(values.begin(), values.end());
    return values[std::size_t(q * double(values.size() - 1))];
}

double process_cpu_s()
{
    return double(std::clock()) / CLOCKS_PER_SEC;
}

} // namespace

int main(int count, char** arguments)
{
    duration const pace =
        std::chrono::microseconds{count > 1 ? std::stoi(arguments[1]) : 4'000};
    if (count > 2)
        events_per_stream = std::stoi(arguments[2]);
    std::atomic<bool> stop{false};
    std::atomic<double> source_cpu{0};
    event_source source;
    endpoint const source_at{"127.0.0.1", http::port_of(*source.server)};
    std::thread source_thread{[&]
                              {
                                  run_source(source, stop, pace);
                                  source_cpu = thread_cpu_s();
                              }};
    auto const shared = std::make_shared<relay_shared>();
    auto const port = std::make_shared<std::atomic<std::uint16_t>>();
    kernel::kernel k{kernel::run_mode::threaded};
    k.add(make_backend_service({}));
    k.add(kernel::service<relay_state, owner_message>{
        .name = std::string{to_name(service_name::owner)},
        .state = {shared, source_at, {}},
        .receive = owner_receive});
    k.add(kernel::service<relay_state, routing_message>{
        .name = std::string{to_name(service_name::routing)},
        .state = {shared, source_at, {}},
        .start = routing_start,
        .receive = routing_receive});
    auto const front = k.add(make_front_service(
        {.listen = {"127.0.0.1", 0}, .started = 1, .bound_port = port}));
    k.start();
    send(front, config_changed{make_config()});
    std::this_thread::sleep_for(100ms);

    caller_result direct;
    std::thread{[&] { direct = call(source_at, streams); }}.join();
    auto const begun = std::chrono::steady_clock::now();
    auto const source_begun = source_thread_cpu_s(source_thread);
    auto const cpu_begun = process_cpu_s();
    caller_result seen;
    double caller_cpu = 0;
    std::thread caller{[&]
                       {
                           seen = call({"127.0.0.1", *port}, streams);
                           caller_cpu = thread_cpu_s();
                       }};
    caller.join();
    auto const wall =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - begun)
            .count();
    auto const all_cpu = process_cpu_s() - cpu_begun;
    stop = true;
    source_thread.join();
    auto const relay_cpu = all_cpu - caller_cpu - (source_cpu - source_begun);
    auto const events = double(seen.bytes) / double(event_text.size());
    fmt::print(
        "streams {} ended {} failed {} events {:.0f} wall {:.2f} s "
        "rate {:.0f}/s\nprocessor s: caller {:.2f} source {:.2f} "
        "relay {:.2f}\nevents per second of relay processor {:.0f}\n"
        "first byte ms p50 {:.2f} p99 {:.2f}, direct p50 {:.2f} p99 {:.2f}\n",
        streams, seen.ended, seen.failed, events, wall, events / wall,
        caller_cpu, source_cpu.load() - source_begun, relay_cpu,
        events / relay_cpu, quantile(seen.first_ms, 0.5),
        quantile(seen.first_ms, 0.99), quantile(direct.first_ms, 0.5),
        quantile(direct.first_ms, 0.99));
}
