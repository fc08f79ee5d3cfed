#include "testing/backend_standin.hpp"

#include "common/digest.hpp"
#include "control/load/expected_answer.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace bramleyarch::testing
{

namespace
{

constexpr milliseconds sample_interval{50};
constexpr milliseconds hold_interval{2};
constexpr std::uint32_t default_priority = 1;

time_point clock_now()
{
    return std::chrono::steady_clock::now();
}

/// One request in flight: keeps the counts right on every way out.
class run_guard
{
public:
    run_guard(standin_ptr s, std::size_t record)
        : server_(std::move(s)), record_(record),
          incarnation_(server_->model.incarnation)
    {
        ++server_->model.waiting;
        auto& peak = server_->model.most_in_flight;
        peak = std::max(peak, in_flight(server_->model));
    }
    run_guard(run_guard const&) = delete;
    run_guard& operator=(run_guard const&) = delete;

    ~run_guard()
    {
        end_run(*server_->log, record_,
                alive() ? run_state::cancelled : run_state::crashed);
        leave();
    }

    /// Gives the place to the next request. The work is over when its answer
    /// leaves: a router that has the answer may send the next one at once.
    void leave()
    {
        if (!alive() || std::exchange(left_, true))
            return;
        --(running_ ? server_->model.running : server_->model.waiting);
        admit_next();
    }

    void run()
    {
        running_ = true;
        --server_->model.waiting;
        ++server_->model.running;
    }

    /// False once the server has fallen over.
    [[nodiscard]] bool alive() const
    {
        return server_->model.incarnation == incarnation_;
    }

    void end(run_state state)
    {
        end_run(*server_->log, record_, state);
    }

private:
    void admit_next()
    {
        auto& queue = server_->queue;
        if (queue.empty() ||
            server_->model.running >= server_->model.options.batch)
            return;
        auto const next =
            std::min_element(queue.begin(), queue.end(),
                             [](auto const* a, auto const* b)
                             {
                                 return std::pair{a->priority, a->sequence} <
                                        std::pair{b->priority, b->sequence};
                             });
        batch_waiter* const waiter = *next;
        queue.erase(next);
        waiter->admitted = true;
        waiter->timer->cancel();
    }

    standin_ptr server_;
    std::size_t record_;
    std::uint64_t incarnation_;
    bool running_ = false;
    bool left_ = false;
};

/// Waits for a place in the batch; false when it was not got.
asio::awaitable<bool> enter_batch(standin_ptr s, connection_ptr c,
                                  run_guard& run)
{
    constexpr std::chrono::hours forever{1};
    auto const& model = s->model;
    if (model.running < model.options.batch)
    {
        run.run();
        co_return true;
    }
    asio::steady_timer timer{s->io};
    batch_waiter waiter{.priority = default_priority,
                        .sequence = ++s->sequence,
                        .timer = &timer};
    std::string const stated = header(*c, "x-priority");
    if (stated == "interactive")
        waiter.priority = 0;
    if (stated == "batch")
        waiter.priority = 2;
    s->queue.push_back(&waiter);
    c->on_gone = [&timer] { timer.cancel(); };
    co_await sleep(timer, forever);
    c->on_gone = nullptr;
    std::erase(s->queue, &waiter);
    if (!waiter.admitted || c->gone || !run.alive())
        co_return false;
    run.run();
    co_return true;
}

/// Sleeps on behalf of a request; false when it must end.
asio::awaitable<bool> work(connection_ptr c, run_guard& run,
                           asio::steady_timer& timer, microseconds length)
{
    if (length.count() > 0)
    {
        c->on_gone = [&timer] { timer.cancel(); };
        co_await sleep(timer, length);
        c->on_gone = nullptr;
    }
    co_return run.alive() && !c->gone;
}

std::uint64_t resume_offset(http_connection const& c)
{
    std::string const text = header(c, "x-resume-offset");
    std::uint64_t offset = 0;
    std::from_chars(text.data(), text.data() + text.size(), offset);
    return offset;
}

/// Sends the events from `offset` on, each when its time has come.
asio::awaitable<bool> stream_events(standin_ptr s, connection_ptr c,
                                    run_guard& run, load::expected_chat chat)
{
    std::uint64_t skip = resume_offset(*c);
    std::size_t const cut = s->faults.cut_in_answer > 0 ? chat.events.size() / 2
                                                        : chat.events.size();
    if (cut != chat.events.size())
        --s->faults.cut_in_answer;
    std::string pending;
    std::size_t const group =
        std::max<std::uint32_t>(1, s->model.options.events_per_write);
    asio::steady_timer timer{s->io};
    for (std::size_t i = 0; i < cut; ++i)
    {
        std::uint64_t const skipped = std::min(skip, chat.events[i].size());
        skip -= skipped;
        pending += chat.events[i].substr(skipped);
        if ((i + 1) % group != 0 && i + 1 != cut)
            continue;
        auto const time = step_time(s->model) * group;
        if (!co_await work(c, run, timer, time))
            co_return false;
        std::string const bytes = std::exchange(pending, {});
        if (!bytes.empty() && !co_await send_chunk(c, bytes))
            co_return false;
    }
    if (cut != chat.events.size())
        co_return false;
    co_return co_await send_chunk(c, std::string{});
}

asio::awaitable<bool> answer_chat(standin_ptr s, connection_ptr c,
                                  run_guard& run, prompt asked,
                                  std::uint32_t cached)
{
    auto chat = load::expect_chat(c->request.body());
    http_response head = json_response(200, {});
    head.set("x-cached-tokens", std::to_string(cached));
    if (chat.stream)
    {
        head.set(http::field::content_type, "text/event-stream");
        head.set("x-resumable", "true");
        if (auto const offset = resume_offset(*c); offset > 0)
            head.set("x-resume-offset", std::to_string(offset));
        if (!co_await send_stream_head(c, std::move(head)) ||
            !co_await stream_events(s, c, run, chat))
            co_return false;
    }
    else
    {
        asio::steady_timer timer{s->io};
        auto const steps = static_cast<long>(chat.events.size());
        if (!co_await work(c, run, timer, step_time(s->model) * steps))
            co_return false;
        head.body() = std::move(chat.whole);
        if (!co_await send_response(c, std::move(head)))
            co_return false;
    }
    append_message(asked, chat.text);
    remember(s->model.cache, std::move(asked));
    co_return true;
}

asio::awaitable<bool> answer_plain(standin_ptr s, connection_ptr c,
                                   run_guard& run)
{
    asio::steady_timer timer{s->io};
    if (!co_await work(c, run, timer, s->model.options.plain_time))
        co_return false;
    while (s->faults.hold_answers)
    {
        if (!co_await work(c, run, timer, hold_interval))
            co_return false;
    }
    http_response response =
        json_response(200, load::expect_plain_body(c->request.body()));
    run.leave();
    co_return co_await send_response(c, std::move(response));
}

/// Runs faults that end a request without an answer; true when one did.
asio::awaitable<bool> fail_on_command(standin_ptr s, connection_ptr c,
                                      run_guard& run)
{
    if (s->faults.close_after_read > 0)
    {
        --s->faults.close_after_read;
        run.end(run_state::unanswered);
        co_return true;
    }
    if (!s->faults.silent)
        co_return false;
    run.end(run_state::unanswered);
    asio::steady_timer timer{s->io};
    co_await work(c, run, timer, std::chrono::hours{1});
    co_return true;
}

run_record make_record(backend_standin const& s, http_connection const& c,
                       prompt const& asked, std::uint32_t cached)
{
    return {.server = s.name,
            .incarnation = s.model.incarnation,
            .method = std::string{c.request.method_string()},
            .target = std::string{c.request.target()},
            .key = header(c, "idempotency-key"),
            .body_hash = fingerprint(c.request.body()),
            .prompt_tokens = tokens_of(asked),
            .cached_tokens = cached,
            .in_flight = in_flight(s.model) + 1};
}

asio::awaitable<bool> run_request(standin_ptr s, connection_ptr c)
{
    prompt asked;
    if (s->kind == standin_kind::engine)
        asked = read_prompt(c->request.body());
    std::uint32_t const cached = cached_tokens(s->model.cache, asked);
    run_guard run{s, start_run(*s->log, make_record(*s, *c, asked, cached))};
    bool const too_many = is_overloaded(s->model, clock_now());
    if (too_many)
        ++s->model.overloaded;
    if (too_many ||
        c->request.body().find(load::crash_marker) != std::string::npos)
    {
        fall_over(s);
        co_return false;
    }
    if (co_await fail_on_command(s, c, run))
        co_return false;
    if (!co_await enter_batch(s, c, run))
        co_return false;
    bool answered = false;
    if (s->kind == standin_kind::engine)
    {
        asio::steady_timer timer{s->io};
        if (!co_await work(c, run, timer, prefill_time(s->model, asked)))
            co_return false;
        answered = co_await answer_chat(s, c, run, asked, cached);
    }
    else
    {
        answered = co_await answer_plain(s, c, run);
    }
    if (!answered)
        co_return false;
    run.end(run_state::completed);
    complete_one(s->model);
    co_return true;
}

std::string load_report(backend_standin const& s)
{
    auto const at = clock_now();
    auto const report = lagging_report(s.model, at);
    nlohmann::json const body{
        {"incarnation", report.incarnation}, {"running", report.running},
        {"waiting", report.waiting},         {"cold", report.cold},
        {"age_ms", to_ms(at - report.at)},
    };
    return body.dump();
}

http_response take_order(backend_standin& s, std::string const& body)
{
    auto const order = nlohmann::json::parse(body, nullptr, false);
    if (!order.is_object())
        return json_response(400, R"({"error":"not an object"})");
    auto const number = order.value("fencing_number", std::int64_t{0});
    bool const old = number < s.highest_fencing_number;
    if (old && s.model.options.check_fencing)
    {
        ++s.orders_refused;
        return json_response(409, R"({"error":"old fencing number"})");
    }
    s.highest_fencing_number = std::max(s.highest_fencing_number, number);
    ++s.orders;
    start_run(*s.log, {.server = s.name,
                       .incarnation = s.model.incarnation,
                       .method = "ORDER",
                       .target = body,
                       .key = std::to_string(number)});
    return json_response(200, R"({"accepted":true})");
}

asio::awaitable<bool> handle(standin_ptr s, connection_ptr c)
{
    std::string const path = path_of(*c);
    http_response response;
    if (path == "/load")
        response = json_response(200, load_report(*s));
    else if (path == "/orders" && s->kind == standin_kind::engine)
        response = take_order(*s, c->request.body());
    else
        co_return co_await run_request(s, c);
    if (s->faults.silent)
    {
        asio::steady_timer timer{s->io};
        co_await sleep(timer, std::chrono::hours{1});
        co_return false;
    }
    co_return co_await send_response(c, std::move(response));
}

/// Logs the moment from which the cache holds nothing of before.
void log_cache_loss(backend_standin& s)
{
    start_run(*s.log, {.server = s.name,
                       .incarnation = s.model.incarnation,
                       .method = "CACHE_LOST"});
}

asio::awaitable<void> listen_later(standin_ptr s)
{
    asio::steady_timer timer{s->io};
    co_await sleep(timer, s->model.options.restart_time);
    listen_again(s->listener);
}

asio::awaitable<void> sample_forever(standin_ptr s)
{
    asio::steady_timer timer{s->io};
    while (true)
    {
        sample_load(s->model, clock_now());
        co_await sleep(timer, sample_interval);
    }
}

} // namespace

standin_ptr start_backend(asio::io_context& io, standin_kind kind,
                          std::string name, std::uint16_t port,
                          engine_options const& options, run_log& log)
{
    auto s = std::make_shared<backend_standin>(io);
    s->name = std::move(name);
    s->kind = kind;
    s->model = make_engine(options);
    s->log = &log;
    s->listener = listen(
        io, port, [s](connection_ptr c) { return handle(s, std::move(c)); });
    asio::co_spawn(io, sample_forever(s), asio::detached);
    return s;
}

void fall_over(standin_ptr const& s)
{
    restart(s->model);
    log_cache_loss(*s);
    for (auto* waiter : std::exchange(s->queue, {}))
        waiter->timer->cancel();
    stop_listening(*s->listener);
    asio::co_spawn(s->io, listen_later(s), asio::detached);
}

void control_backend(standin_ptr const& s, nlohmann::json const& request)
{
    auto& faults = s->faults;
    faults.silent = request.value("silent", faults.silent);
    faults.hold_answers = request.value("hold_answers", faults.hold_answers);
    faults.close_after_read =
        request.value("close_after_read", faults.close_after_read);
    faults.cut_in_answer = request.value("cut_in_answer", faults.cut_in_answer);
    if (request.value("turn_cold", false))
    {
        turn_cold(s->model, clock_now());
        log_cache_loss(*s);
    }
    if (request.value("fall_over", false))
        fall_over(s);
    if (request.value("reset_connections", false))
        reset_connections(*s->listener);
}

nlohmann::json describe_backend(backend_standin& s)
{
    nlohmann::json state{
        {"name", s.name},
        {"kind", to_name(s.kind)},
        {"port", s.listener->port},
        {"incarnation", s.model.incarnation},
        {"running", s.model.running},
        {"waiting", s.model.waiting},
        {"peak", s.model.most_in_flight},
        {"cold", s.model.cold},
        {"bearable", bearable_now(s.model)},
        {"completed", s.model.completed},
        {"fell_over", s.model.fell_over},
        {"overloaded", s.model.overloaded},
        {"orders", s.orders},
        {"orders_refused", s.orders_refused},
    };
    s.model.most_in_flight = in_flight(s.model);
    return state;
}

} // namespace bramleyarch::testing
