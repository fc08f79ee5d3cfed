/// What a stand-in server ran: the oracle for at-most-once tests.
#pragma once

#include "common/enum_names.hpp"
#include "common/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bramleyarch::testing
{

enum class run_state : std::uint8_t
{
    started, ///< Read in full; no end yet.
    completed,
    cancelled, ///< The client left first.
    crashed,   ///< The server fell over first.
    unanswered ///< Run, and the answer withheld on command.
};

constexpr auto enum_names(run_state)
{
    using s = run_state;
    using row = enum_name<run_state>;
    return std::array{
        row{s::started, "started"},       row{s::completed, "completed"},
        row{s::cancelled, "cancelled"},   row{s::crashed, "crashed"},
        row{s::unanswered, "unanswered"},
    };
}

/// One request that reached a server in full.
struct run_record
{
    std::string server;
    std::uint64_t incarnation = 0;
    std::string method;
    std::string target;
    std::string key; ///< Idempotency key; empty when there was none.
    std::uint64_t body_hash = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::uint32_t in_flight = 0; ///< At the start, this one included.
    std::int64_t started_ms = 0; ///< Wall time.
    std::int64_t ended_ms = 0;
    run_state state = run_state::started;
};

struct run_log
{
    std::vector<run_record> records;
};

/// Wall time in milliseconds since 1970.
std::int64_t wall_ms();

/// Appends a started record; returns its index.
std::size_t start_run(run_log& log, run_record record);

/// Ends a record; an ended record stays as it is.
void end_run(run_log& log, std::size_t index, run_state state);

/// One JSON object a line.
std::string to_json_lines(run_log const& log);

} // namespace bramleyarch::testing
