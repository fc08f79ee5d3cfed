#include "control/load/oracle.hpp"

#include "http/client.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <unordered_map>

namespace bramleyarch::load
{

namespace
{

constexpr std::chrono::seconds page_limit{10};

std::uint64_t read_hash(std::string const& text)
{
    return std::strtoull(text.c_str(), nullptr, 16);
}

using runs_by_key = std::unordered_map<std::string, std::uint64_t>;

void judge_action(oracle_figures& made, request_record const& record,
                  runs_by_key const& runs)
{
    auto const found = runs.find(record.key);
    std::uint64_t const count = found == runs.end() ? 0 : found->second;
    made.doubled += count > 1 ? 1 : 0;
    bool const answered = outcome_of(record) == told::answered;
    made.lost += answered && count == 0 ? 1 : 0;
    bool const all_not_run = std::ranges::all_of(
        record.sends, [](told t) { return t == told::not_run; });
    made.false_not_run += all_not_run && count > 0 ? 1 : 0;
}

/// Prompt tokens of each turn by body, to tell what a next turn could reuse.
struct reuse_count
{
    double cached = 0;
    double reusable = 0;
};

/// A returning turn can reuse what its last turn had as prompt; its own
/// prompt is longer by an answer and a message.
void judge_reuse(oracle_figures& made, logged_run const& run,
                 logged_run const& last, reuse_count& count)
{
    ++made.returning;
    made.reused += run.cached_tokens >= last.prompt_tokens ? 1 : 0;
    count.reusable += last.prompt_tokens;
    count.cached += std::min(run.cached_tokens, last.prompt_tokens);
}

/// Times at which servers lost their caches.
using cache_losses = std::unordered_map<std::string, std::vector<std::int64_t>>;

bool kept_cache(cache_losses const& losses, logged_run const& last,
                std::int64_t until_ms)
{
    auto const found = losses.find(last.server);
    if (found == losses.end())
        return true;
    return std::ranges::none_of(
        found->second,
        [&](std::int64_t at) { return at >= last.ended_ms && at <= until_ms; });
}

void judge_chats(oracle_figures& made,
                 std::vector<request_record> const& records,
                 std::vector<logged_run> const& runs)
{
    std::unordered_map<std::uint64_t, logged_run const*> completed;
    cache_losses losses;
    for (auto const& run : runs)
    {
        if (run.state == "completed")
            completed[run.body_hash] = &run;
        if (run.method == "CACHE_LOST")
            losses[run.server].push_back(run.started_ms);
    }
    reuse_count count;
    for (auto const& record : records)
    {
        auto const run = completed.find(record.body_hash);
        auto const last = completed.find(record.last_turn_hash);
        if (run == completed.end() || last == completed.end())
            continue;
        auto const started_ms = run->second->started_ms;
        if (record.turn == 0 || last->second->ended_ms > started_ms)
            continue;
        judge_reuse(made, *run->second, *last->second, count);
        made.reusable += kept_cache(losses, *last->second, started_ms) ? 1 : 0;
    }
    auto const returning = static_cast<double>(made.returning);
    if (made.returning > 0)
    {
        made.reuse_share = static_cast<double>(made.reused) / returning;
        made.reusable_share = static_cast<double>(made.reusable) / returning;
    }
    if (count.reusable > 0)
        made.token_reuse_share = count.cached / count.reusable;
}

void add_state(oracle_figures& made, std::string const& page)
{
    auto const state = nlohmann::json::parse(page, nullptr, false);
    if (!state.is_object())
        return;
    for (auto const& server : state.value("servers", nlohmann::json::array()))
    {
        made.fell_over += server.value("fell_over", 0U);
        made.overloaded += server.value("overloaded", 0U);
    }
}

} // namespace

std::vector<logged_run> read_run_log(std::string_view lines)
{
    std::vector<logged_run> runs;
    while (!lines.empty())
    {
        std::size_t const end = std::min(lines.find('\n'), lines.size());
        auto const json =
            nlohmann::json::parse(lines.substr(0, end), nullptr, false);
        lines.remove_prefix(std::min(end + 1, lines.size()));
        if (!json.is_object())
            continue;
        runs.push_back({.server = json.value("server", ""),
                        .method = json.value("method", ""),
                        .key = json.value("key", ""),
                        .body_hash = read_hash(json.value("body_hash", "")),
                        .prompt_tokens = json.value("prompt_tokens", 0U),
                        .cached_tokens = json.value("cached_tokens", 0U),
                        .state = json.value("state", ""),
                        .started_ms = json.value("started_ms", 0LL),
                        .ended_ms = json.value("ended_ms", 0LL)});
    }
    return runs;
}

oracle_figures judge(std::vector<request_record> const& records,
                     std::vector<logged_run> const& runs)
{
    oracle_figures made{.checked = true, .runs = runs.size()};
    runs_by_key by_key;
    for (auto const& run : runs)
    {
        if (!run.key.empty())
            ++by_key[run.key];
    }
    for (auto const& record : records)
    {
        if (record.kind == request_class::action)
            judge_action(made, record, by_key);
    }
    judge_chats(made, records, runs);
    return made;
}

result<std::string> fetch_page(endpoint const& from, std::string target)
{
    std::string page;
    int status = 0;
    bool done = false;
    bool complete = false;
    auto client = http::make_client(
        {.on_event = [&](http::client_event const& event)
         {
             if (auto const* head = std::get_if<http::response_head>(&event))
                 status = head->status;
             if (auto const* got = std::get_if<http::response_bytes>(&event))
                 page += got->bytes;
             complete = std::holds_alternative<http::response_end>(event);
             done = complete ||
                    std::holds_alternative<http::response_failed>(event);
         }});
    if (!client)
        return client.error();
    http::open(*client.value(), {.id = 1,
                                 .to = from,
                                 .method = "GET",
                                 .target = target,
                                 .silence_limit = page_limit});
    while (!done)
        http::wait(*client.value(), page_limit);
    if (!complete || status != 200)
        return fail(error_kind::io_failure,
                    fmt::format("{}:{}{}: status {}", from.address, from.port,
                                target, status));
    return page;
}

result<oracle_figures>
judge_by_standins(config::document const& doc,
                  std::vector<request_record> const& records,
                  std::vector<endpoint> const& controls)
{
    std::vector<logged_run> runs;
    oracle_figures states;
    for (auto const& control : controls)
    {
        auto log = fetch_page(control, "/log");
        if (!log)
            return log.error();
        std::ranges::move(read_run_log(log.value()), std::back_inserter(runs));
        auto state = fetch_page(control, "/control");
        if (!state)
            return state.error();
        add_state(states, state.value());
    }
    auto made = judge(records, runs);
    judge_admissions(made, doc, runs);
    made.fell_over = states.fell_over;
    made.overloaded = states.overloaded;
    return made;
}

} // namespace bramleyarch::load
