#include "control/load/runner.hpp"

#include "common/digest.hpp"
#include "control/load/balancer.hpp"
#include "control/load/conversation.hpp"
#include "control/load/expected_answer.hpp"
#include "control/load/sampler.hpp"
#include "http/client.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <map>
#include <unordered_map>
#include <utility>

namespace bramleyarch::load
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr int http_ok = 200;
constexpr std::uint64_t sample_ids = 1ULL << 62;
constexpr milliseconds least_resend_delay{50};
constexpr std::uint32_t max_connect_failures = 16;
constexpr std::size_t max_problem_bytes = 64U << 10;
constexpr duration check_limit = std::chrono::seconds{1};

/// What to send for a record, again and again with the same key.
struct prepared_request
{
    planned_request planned;
    std::string chat_id;
    std::shared_ptr<std::string const> body;
    std::string expected;
    std::uint32_t connect_failures = 0;
    std::uint32_t next_router = 0;
    time_point first_sent{};
};

/// One send that waits for its answer.
struct open_send
{
    std::size_t record = 0;
    std::size_t router = 0;
    time_point sent{};
    time_point last_bytes{};
    int status = 0;
    milliseconds retry_after{0};
    std::size_t matched = 0; ///< Bytes that were as expected.
    bool differs = false;
    std::string problem; ///< Body of an error.
};

struct load_run
{
    load_options const& options;
    config::document const& doc;
    plan planned;
    http::client_ptr client;
    std::vector<conversation> chats;
    std::vector<prepared_request> prepared;
    std::unordered_map<std::uint64_t, open_send> open;
    std::multimap<time_point, std::size_t> resends;
    balancer balance;
    std::map<std::uint64_t, std::size_t> checks; ///< Routers being checked.
    std::map<std::uint64_t, std::string> pages;  ///< State pages being read.
    server_loads loads;
    std::uint64_t last_id = 0;
    std::size_t next = 0; ///< In the plan.
    std::size_t done = 0;
    time_point start{};
    time_point next_sample{};
    time_point next_check{};
    time_point next_progress{};
    run_output out;
};

std::string make_key(load_run const& run, std::size_t index)
{
    auto const wall = std::chrono::system_clock::now();
    std::uint64_t const high = mix(run.options.seed, index);
    return to_text(make_idempotency_key(wall, high, mix(high, index)));
}

chat_turn make_chat_turn(load_run& run, planned_request const& planned)
{
    auto& chat = run.chats[planned.chat];
    chat.id = mix(run.options.seed, planned.chat);
    return next_turn(chat, {.model = run.planned.targets[planned.target].model,
                            .stream = planned.stream,
                            .max_tokens = run.options.max_tokens,
                            .max_turns = run.options.max_turns});
}

/// Makes the record and the body of the next request in the plan.
std::size_t prepare(load_run& run, planned_request const& planned)
{
    std::size_t const index = run.prepared.size();
    prepared_request made{.planned = planned};
    request_record record{.kind = planned.kind, .team = planned.team};
    std::string body;
    if (planned.kind == request_class::chat)
    {
        auto turn = make_chat_turn(run, planned);
        made.chat_id = std::move(turn.chat_id);
        made.expected = std::move(turn.expected);
        record.turn = turn.turn;
        record.last_turn_hash = turn.last_body_hash;
        body = std::move(turn.body);
    }
    else
    {
        bool const has_body =
            run.planned.targets[planned.target].method != "GET";
        if (has_body)
            body = fmt::format("{{\"seed\":{},\"number\":{}}}",
                               run.options.seed, index);
        made.expected = expect_plain_body(body);
    }
    if (planned.kind == request_class::action)
        record.key = make_key(run, index);
    record.body_hash = fingerprint(body);
    made.body = std::make_shared<std::string const>(std::move(body));
    made.next_router = static_cast<std::uint32_t>(mix(run.options.seed, index) %
                                                  run.options.routers.size());
    run.prepared.push_back(std::move(made));
    run.out.records.push_back(std::move(record));
    return index;
}

std::vector<header_field> make_headers(load_run const& run, std::size_t index)
{
    auto const& made = run.prepared[index];
    auto const& record = run.out.records[index];
    auto const& team = run.doc.teams[record.team].id.value;
    std::vector<header_field> headers{
        {"authorization", fmt::format("Bearer {}-key", team)},
        {"content-type", "application/json"}};
    if (!made.chat_id.empty())
        headers.push_back({"x-chat-id", made.chat_id});
    if (!record.key.empty())
        headers.push_back({"idempotency-key", record.key});
    return headers;
}

/// Sends a request for the first time or again.
void send(load_run& run, std::size_t index)
{
    auto& made = run.prepared[index];
    auto& record = run.out.records[index];
    auto const& target = run.planned.targets[made.planned.target];
    auto const at = clock::now();
    if (record.sends.empty() && made.connect_failures == 0)
    {
        made.first_sent = at;
        record.sent_at = at - run.start;
    }
    record.sends.push_back(told::pending);
    auto const router = pick_router(run.balance, made.next_router++);
    http::client_request request{.id = ++run.last_id,
                                 .to = run.options.routers[router],
                                 .method = target.method,
                                 .target = target.path,
                                 .headers = make_headers(run, index),
                                 .body = made.body,
                                 .silence_limit = run.options.silence_limit};
    run.open[request.id] = {.record = index, .router = router, .sent = at};
    http::open(*run.client, std::move(request));
}

void resend_later(load_run& run, std::size_t index, milliseconds delay)
{
    auto const at = clock::now() + std::max(delay, least_resend_delay);
    run.resends.emplace(at, index);
}

/// Ends a send; sends again what a caller would.
void finish(load_run& run, open_send const& sent, told what)
{
    auto& record = run.out.records[sent.record];
    record.sends.back() = what;
    record.whole = clock::now() - run.prepared[sent.record].first_sent;
    bool const action = record.kind == request_class::action;
    bool const resend =
        what == told::not_run ||
        (what == told::connection_lost && action && run.options.resend_actions);
    if (resend && record.sends.size() < run.options.max_sends)
        resend_later(run, sent.record, sent.retry_after);
    else
        ++run.done;
}

milliseconds read_retry_after(std::string const& text)
{
    std::int64_t seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::chrono::seconds{seconds};
}

void handle(load_run& run, http::request_sent const&)
{
    (void)run;
}

void handle(load_run& run, http::response_head const& head)
{
    if (auto const check = run.checks.find(head.id); check != run.checks.end())
    {
        note_check(run.balance, check->second, head.status == http_ok);
        return;
    }
    auto const found = run.open.find(head.id);
    if (found == run.open.end())
        return;
    found->second.status = head.status;
    for (auto const& field : head.headers)
    {
        if (field.name == "retry-after")
            found->second.retry_after = read_retry_after(field.value);
    }
}

void handle(load_run& run, http::response_bytes const& got)
{
    if (auto const page = run.pages.find(got.id); page != run.pages.end())
    {
        page->second += got.bytes;
        return;
    }
    auto const found = run.open.find(got.id);
    if (found == run.open.end())
        return;
    auto& sent = found->second;
    auto const at = clock::now();
    auto& record = run.out.records[sent.record];
    if (sent.status >= 300)
    {
        if (sent.problem.size() < max_problem_bytes)
            sent.problem += got.bytes;
        return;
    }
    if (sent.matched == 0)
        record.first_byte = at - sent.sent;
    else
        run.out.between_chunks.push_back(at - sent.last_bytes);
    sent.last_bytes = at;
    ++record.chunks;
    auto const& expected = run.prepared[sent.record].expected;
    bool const same =
        expected.compare(sent.matched, got.bytes.size(), got.bytes) == 0;
    sent.differs = sent.differs || !same;
    if (sent.differs && sent.problem.size() < max_problem_bytes)
        sent.problem += got.bytes;
    sent.matched = std::min(expected.size(), sent.matched + got.bytes.size());
}

/// Problem document in the error event that ends a broken stream; empty when
/// there is none.
std::string problem_in_stream(std::string const& bytes)
{
    constexpr std::string_view mark = "event: error\ndata: ";
    auto const at = bytes.rfind(mark);
    if (at == std::string::npos)
        return {};
    auto const from = at + mark.size();
    return bytes.substr(from, bytes.find('\n', from) - from);
}

/// Reads outcome and kind of a problem document (RFC 9457).
told read_problem(std::string const& problem, std::string& kind)
{
    auto const json = nlohmann::json::parse(problem, nullptr, false);
    if (!json.is_object())
        return told::failed;
    auto const type = json.value("type", std::string{"untitled"});
    kind = type.substr(type.rfind(':') + 1);
    auto const outcome = json.value("outcome", std::string{"failed"});
    // The recorded outcome of an earlier send: this one brought no answer.
    if (outcome == to_name(told::answered))
        return told::unknown;
    return from_name<told>(outcome).value_or(told::failed);
}

void handle(load_run& run, http::response_end const& end)
{
    if (run.checks.erase(end.id) > 0)
        return;
    if (auto const page = run.pages.find(end.id); page != run.pages.end())
    {
        read_loads(page->second, run.loads);
        run.pages.erase(page);
        if (!run.pages.empty())
            return;
        auto const at = clock::now() - run.start;
        auto samples = make_samples(run.doc, run.loads, at);
        std::ranges::move(samples, std::back_inserter(run.out.samples));
        return;
    }
    auto node = run.open.extract(end.id);
    if (node.empty())
        return;
    auto const& sent = node.mapped();
    auto& record = run.out.records[sent.record];
    if (sent.status >= 300)
    {
        finish(run, sent, read_problem(sent.problem, record.last_error));
        return;
    }
    bool const exact =
        !sent.differs &&
        sent.matched == run.prepared[sent.record].expected.size();
    if (!exact)
        record.last_error = "wrong_bytes";
    finish(run, sent, exact ? told::answered : told::wrong_bytes);
}

void handle(load_run& run, http::response_failed const& failed)
{
    if (auto const check = run.checks.extract(failed.id))
    {
        note_check(run.balance, check.mapped(), false);
        return;
    }
    if (run.pages.erase(failed.id) > 0)
        return;
    auto node = run.open.extract(failed.id);
    if (node.empty())
        return;
    auto const& sent = node.mapped();
    auto& record = run.out.records[sent.record];
    auto& made = run.prepared[sent.record];
    record.last_error = std::string{to_name(failed.cause.kind)};
    if (!failed.sent && ++made.connect_failures < max_connect_failures)
    {
        // Nothing was sent; a balancer picks another router.
        if (!run.options.admins.empty())
            note_check(run.balance, sent.router, false);
        record.sends.pop_back();
        resend_later(run, sent.record, milliseconds{0});
        return;
    }
    auto const problem = problem_in_stream(sent.problem);
    finish(run, sent,
           problem.empty() ? told::connection_lost
                           : read_problem(problem, record.last_error));
}

void read_pages(load_run& run)
{
    if (!run.pages.empty())
        return;
    for (auto const& control : run.options.controls)
    {
        std::uint64_t const id = sample_ids + ++run.last_id;
        run.pages[id];
        http::open(*run.client, {.id = id,
                                 .to = control,
                                 .method = "GET",
                                 .target = "/control",
                                 .silence_limit = std::chrono::seconds{2}});
    }
}

/// Asks the routers whether they are ready, but those that still owe an
/// answer.
void check_routers(load_run& run)
{
    for (std::size_t router = 0; router < run.options.admins.size(); ++router)
    {
        bool const asked =
            std::ranges::any_of(run.checks, [&](auto const& check)
                                { return check.second == router; });
        if (asked)
            continue;
        auto const id = ++run.last_id;
        run.checks.emplace(id, router);
        http::open(*run.client, {.id = id,
                                 .to = run.options.admins[router],
                                 .method = "GET",
                                 .target = "/readyz",
                                 .connect_limit = check_limit,
                                 .silence_limit = check_limit});
    }
}

void print_progress(load_run const& run)
{
    fmt::print(stderr, "{} of {} requests done, {} in flight\n", run.done,
               run.planned.requests.size(), run.open.size());
}

/// Does what is due; returns when the next thing is.
time_point do_due(load_run& run)
{
    auto const at = clock::now();
    auto const& requests = run.planned.requests;
    while (run.next < requests.size() &&
           run.start + requests[run.next].at <= at)
        send(run, prepare(run, requests[run.next++]));
    while (!run.resends.empty() && run.resends.begin()->first <= at)
    {
        std::size_t const index = run.resends.begin()->second;
        run.resends.erase(run.resends.begin());
        send(run, index);
    }
    if (at >= run.next_sample)
    {
        read_pages(run);
        run.next_sample = at + run.options.sample_interval;
    }
    if (at >= run.next_check)
    {
        check_routers(run);
        run.next_check = at + run.options.check_interval;
    }
    if (at >= run.next_progress)
    {
        print_progress(run);
        run.next_progress = at + run.options.progress_interval;
    }
    time_point due =
        std::min({run.next_sample, run.next_check, run.next_progress});
    if (run.next < requests.size())
        due = std::min(due, run.start + requests[run.next].at);
    if (!run.resends.empty())
        due = std::min(due, run.resends.begin()->first);
    return due;
}

} // namespace

result<run_output> run_load(load_options const& options,
                            config::document const& doc)
{
    load_run run{.options = options, .doc = doc};
    run.planned = make_plan(options, doc);
    if (run.planned.requests.empty() || options.routers.empty())
        return fail(error_kind::invalid_config, "nothing to send, or nowhere");
    run.balance = make_balancer(options.routers.size());
    run.chats.resize(options.chats + doc.teams.size());
    auto made =
        http::make_client({.on_event = [&run](http::client_event const& event) {
            std::visit([&run](auto const& e) { handle(run, e); }, event);
        }});
    if (!made)
        return made.error();
    run.client = std::move(made.value());
    run.start = clock::now();
    run.next_sample = run.start;
    run.next_check = run.start;
    run.next_progress = run.start + options.progress_interval;
    while (run.done < run.planned.requests.size())
    {
        auto const due = do_due(run);
        auto const limit = due - clock::now();
        if (limit.count() > 0)
            http::wait(*run.client, limit);
        else
            http::wait(*run.client, duration{0});
    }
    run.out.length = clock::now() - run.start;
    return std::move(run.out);
}

} // namespace bramleyarch::load
