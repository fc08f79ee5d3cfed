#include "testing/kv_standin.hpp"

#include "testing/kv_protocol.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <chrono>

namespace bramleyarch::testing
{

namespace
{

constexpr std::chrono::milliseconds expiry_interval{50};
constexpr std::chrono::milliseconds watch_interval{5};
constexpr std::chrono::milliseconds hold_interval{2};
constexpr std::string_view claim_prefix = "once/";
constexpr int code_too_many_requests = 8;
constexpr std::uint32_t permille = 1000;

time_point clock_now()
{
    return std::chrono::steady_clock::now();
}

bool takes_call(rate_window& window, std::uint32_t limit)
{
    std::int64_t const second = to_ms(clock_now().time_since_epoch()) / 1000;
    if (second != window.second)
        window = {.second = second};
    return ++window.calls <= limit;
}

bool happens(kv_standin& kv, std::uint32_t share_permille)
{
    return kv.random() % permille < share_permille;
}

/// Streams changes until the client leaves or the service goes down.
asio::awaitable<bool> serve_watch(kv_ptr kv, connection_ptr c,
                                  nlohmann::json request)
{
    auto const watch = read_watch(request);
    std::size_t next = watch.start_revision == 0 ? kv->store.history.size() : 0;
    if (!co_await send_stream_head(c, json_response(200, {})))
        co_return false;
    std::string line = watch_created(kv->store);
    asio::steady_timer timer{kv->io};
    ++kv->watches;
    while (c->socket.is_open() && !c->gone)
    {
        if (!line.empty() && !co_await send_chunk(c, line))
            break;
        co_await sleep(timer, watch_interval);
        line.clear();
        if (!kv->faults.mute_watches)
            line = watch_events(kv->store, watch, next);
    }
    --kv->watches;
    co_return false;
}

/// Waits while claims are held at `stage`; false when the client has gone.
asio::awaitable<bool> pass_hold(kv_ptr kv, connection_ptr c, claim_hold stage)
{
    asio::steady_timer timer{kv->io};
    ++kv->held;
    while (kv->faults.hold_claims == stage && !c->gone)
        co_await sleep(timer, hold_interval);
    --kv->held;
    co_return !c->gone;
}

asio::awaitable<bool> handle(kv_ptr kv, connection_ptr c)
{
    std::string const path = path_of(*c);
    ++kv->calls[path];
    auto const request =
        nlohmann::json::parse(c->request.body(), nullptr, false);
    asio::steady_timer timer{kv->io};
    if (kv->faults.silent)
    {
        c->on_gone = [&timer] { timer.cancel(); };
        co_await sleep(timer, std::chrono::hours{1});
        c->on_gone = nullptr;
        co_return false;
    }
    co_await sleep(timer, std::chrono::milliseconds{kv->faults.delay_ms});
    if (kv->down || happens(*kv, kv->faults.lost_call_permille))
        co_return false;
    bool const claims = path == "/v3/kv/txn" && request.is_object() &&
                        writes_below(request, claim_prefix);
    if (claims && !co_await pass_hold(kv, c, claim_hold::call))
        co_return false;
    bool const taken = request.is_object() && is_write(path, request)
                           ? takes_call(kv->writes, kv->writes_per_second)
                           : takes_call(kv->reads, kv->reads_per_second);
    if (taken && path == "/v3/watch" && request.is_object())
        co_return co_await serve_watch(kv, c, request);
    kv_reply reply =
        kv_error(429, code_too_many_requests, "etcdserver: too many requests");
    if (taken)
        reply = run_call(kv->store, path, request, clock_now());
    else
        ++kv->refused;
    if (claims && !co_await pass_hold(kv, c, claim_hold::reply))
        co_return false;
    if (happens(*kv, kv->faults.lost_reply_permille))
        co_return false;
    auto response = json_response(reply.status, std::move(reply.body));
    co_return co_await send_response(c, std::move(response));
}

asio::awaitable<void> expire_forever(kv_ptr kv)
{
    asio::steady_timer timer{kv->io};
    while (true)
    {
        co_await sleep(timer, expiry_interval);
        expire_leases(kv->store, clock_now());
    }
}

} // namespace

kv_ptr start_kv(asio::io_context& io, std::uint16_t port)
{
    auto kv = std::make_shared<kv_standin>(io);
    kv->listener = listen(
        io, port, [kv](connection_ptr c) { return handle(kv, std::move(c)); });
    asio::co_spawn(io, expire_forever(kv), asio::detached);
    return kv;
}

void control_kv(kv_ptr const& kv, nlohmann::json const& request)
{
    auto& faults = kv->faults;
    faults.silent = request.value("silent", faults.silent);
    faults.mute_watches = request.value("mute_watches", faults.mute_watches);
    faults.delay_ms = request.value("delay_ms", faults.delay_ms);
    faults.lost_reply_permille =
        request.value("lost_reply_permille", faults.lost_reply_permille);
    faults.lost_call_permille =
        request.value("lost_call_permille", faults.lost_call_permille);
    auto const hold = from_name<claim_hold>(
        request.value("hold_claims", std::string{to_name(faults.hold_claims)}));
    faults.hold_claims = hold.value_or(claim_hold::none);
    kv->writes_per_second =
        request.value("writes_per_second", kv->writes_per_second);
    kv->reads_per_second =
        request.value("reads_per_second", kv->reads_per_second);
    if (request.contains("seed"))
        kv->random.seed(request["seed"].get<std::uint64_t>());
    bool const down = request.value("down", kv->down);
    if (down && !kv->down)
        stop_listening(*kv->listener);
    if (!down && kv->down)
        listen_again(kv->listener);
    kv->down = down;
}

nlohmann::json describe_kv(kv_standin const& kv)
{
    return {
        {"name", "kv"},
        {"port", kv.listener->port},
        {"calls", kv.calls},
        {"refused", kv.refused},
        {"watches", kv.watches},
        {"held", kv.held},
        {"revision", kv.store.revision},
        {"down", kv.down},
        {"keys", kv.store.items.size()},
        {"leases", kv.store.leases.size()},
    };
}

} // namespace bramleyarch::testing
