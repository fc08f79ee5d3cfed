#include "testing/run_log.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>

namespace bramleyarch::testing
{

std::int64_t wall_ms()
{
    auto const since = std::chrono::system_clock::now().time_since_epoch();
    return to_ms(since);
}

std::size_t start_run(run_log& log, run_record record)
{
    record.started_ms = wall_ms();
    log.records.push_back(std::move(record));
    return log.records.size() - 1;
}

void end_run(run_log& log, std::size_t index, run_state state)
{
    auto& record = log.records[index];
    if (record.state != run_state::started)
        return;
    record.state = state;
    record.ended_ms = wall_ms();
}

std::string to_json_lines(run_log const& log)
{
    std::string lines;
    for (auto const& r : log.records)
    {
        nlohmann::json const row{
            {"server", r.server},
            {"incarnation", r.incarnation},
            {"method", r.method},
            {"target", r.target},
            {"key", r.key},
            {"body_hash", fmt::format("{:016x}", r.body_hash)},
            {"prompt_tokens", r.prompt_tokens},
            {"cached_tokens", r.cached_tokens},
            {"in_flight", r.in_flight},
            {"started_ms", r.started_ms},
            {"ended_ms", r.ended_ms},
            {"state", to_name(r.state)},
        };
        lines += row.dump();
        lines += '\n';
    }
    return lines;
}

} // namespace bramleyarch::testing
