/// Compares what callers were told with the run logs of the stand-ins.
#pragma once

#include "common/error.hpp"
#include "control/load/result.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace bramleyarch::load
{

/// One run of a stand-in, as its log states it.
struct logged_run
{
    std::string server;
    std::string method; ///< `CACHE_LOST` marks the loss of a cache.
    std::string key;
    std::uint64_t body_hash = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::string state;
    std::int64_t started_ms = 0; ///< Wall time.
    std::int64_t ended_ms = 0;   ///< Wall time; 0: not ended.
};

/// Reads a log of one JSON object a line; broken lines are left out.
std::vector<logged_run> read_run_log(std::string_view lines);

/// Doubled, lost and falsely "not run" actions, and reuse of prefixes.
oracle_figures judge(std::vector<request_record> const& records,
                     std::vector<logged_run> const& runs);

/// Adds the starts of model requests that broke the document's load bound.
/// All servers of a service count for its mean.
void judge_admissions(oracle_figures& made, config::document const& doc,
                      std::vector<logged_run> const& runs);

/// Fetches logs and states of the stand-ins and judges. Fails with
/// `io_failure` when one can't be read.
result<oracle_figures>
judge_by_standins(config::document const& doc,
                  std::vector<request_record> const& records,
                  std::vector<endpoint> const& controls);

/// Reads a page; fails when there is no answer with status 200.
result<std::string> fetch_page(endpoint const& from, std::string target);

} // namespace bramleyarch::load
