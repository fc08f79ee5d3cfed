/// Options of a load run.
#pragma once

#include "common/ids.hpp"
#include "common/time.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace bramleyarch::load
{

using std::chrono::milliseconds;

/// One team sends `factor` times its usual share for a while.
struct surge
{
    std::string team;
    double factor = 1;
    milliseconds start{0};
    milliseconds length{0};
};

struct load_options
{
    std::string config_file;       ///< The document that the fleet runs.
    std::vector<endpoint> routers; ///< Callers' endpoints.
    /// Operators' endpoints, one for each of `routers` in the same order: the
    /// load goes to ready routers only. Empty: to all.
    std::vector<endpoint> admins;
    std::vector<endpoint> controls; ///< Control endpoints of stand-ins.
    std::uint64_t seed = 1;
    std::uint32_t requests = 1'000;
    double rate = 200;                 ///< Requests per second at the start.
    std::uint32_t chats = 200;         ///< Chats that return.
    std::uint32_t action_percent = 10; ///< Non-idempotent plain requests.
    std::uint32_t read_percent = 10;   ///< Idempotent plain requests.
    std::uint32_t stream_percent = 80; ///< Of the chat requests.
    std::uint32_t max_tokens = 0;      ///< 0: follows from the body's hash.
    std::uint32_t max_turns = 12;      ///< Then the chat starts afresh.
    milliseconds rain_at{0};           ///< Demand doubles from here; 0: never.
    milliseconds rain_rise{10'000};
    std::vector<surge> surges;
    std::uint32_t max_sends = 3; ///< Of one request, on not-run refusals.
    /// Sends an action again with its key when its connection was lost.
    bool resend_actions = true;
    milliseconds silence_limit{30'000};
    milliseconds sample_interval{200}; ///< Of the stand-ins' load.
    milliseconds check_interval{250};  ///< Of the routers' readiness.
    milliseconds progress_interval{5'000};
    std::string output_file;   ///< JSON; empty: none.
    std::string baseline_file; ///< An earlier result to compare with.
};

} // namespace bramleyarch::load
