/// What a load run saw: one record per request, and the figures made of them.
#pragma once

#include "common/enum_names.hpp"
#include "common/time.hpp"
#include "control/load/plan.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bramleyarch::load
{

/// What the caller knows of one send.
enum class told : std::uint8_t
{
    pending,
    answered,
    not_run,
    unknown,
    failed,
    connection_lost, ///< Without a word from the router.
    wrong_bytes,     ///< Answered, but not with the right answer.
};

constexpr auto enum_names(told)
{
    using t = told;
    using row = enum_name<told>;
    return std::array{
        row{t::pending, "pending"},
        row{t::answered, "answered"},
        row{t::not_run, "not_run"},
        row{t::unknown, "unknown"},
        row{t::failed, "failed"},
        row{t::connection_lost, "connection_lost"},
        row{t::wrong_bytes, "wrong_bytes"},
    };
}

/// One caller's request with all of its sends.
struct request_record
{
    request_class kind = request_class::chat;
    std::uint32_t team = 0;
    std::uint32_t turn = 0;
    std::uint64_t body_hash = 0;
    std::uint64_t last_turn_hash = 0; ///< Of the chat's turn before.
    std::string key;                  ///< Of an action.
    std::vector<told> sends;          ///< What each send was told.
    std::string last_error;           ///< Kind that the router gave.
    duration sent_at{};               ///< Of the first send, since the start.
    duration first_byte{};            ///< After the last send.
    duration whole{};                 ///< After the first send.
    std::uint32_t chunks = 0;
};

/// Outcome of the request as a whole: the best that a send was told.
told outcome_of(request_record const& record);

/// Load of one service at one moment.
struct load_sample
{
    duration at{};
    std::string service;
    std::uint32_t servers = 0;
    double mean = 0;        ///< In flight per server.
    std::uint32_t most = 0; ///< In flight at the busiest.
};

struct percentiles
{
    double p50_ms = 0;
    double p95_ms = 0;
    double p99_ms = 0;
    double max_ms = 0;
    std::uint64_t samples = 0;
};

/// Counts of one class of requests by outcome.
struct class_figures
{
    std::uint64_t sent = 0;
    std::map<std::string, std::uint64_t> by_outcome;
    double answered_share = 0;
};

struct oracle_figures
{
    bool checked = false; ///< True when run logs were read.
    std::uint64_t runs = 0;
    std::uint64_t doubled = 0;       ///< Actions that ran more than once.
    std::uint64_t lost = 0;          ///< Answered and not run.
    std::uint64_t false_not_run = 0; ///< Told not_run each time, and run.
    std::uint64_t returning = 0;     ///< Turns whose prefix had been run.
    std::uint64_t reused = 0;        ///< Of these, found in the cache.
    /// Of these, those whose last server had kept its cache since: the best
    /// that any routing could have reused without moving caches.
    std::uint64_t reusable = 0;
    double reuse_share = 0;
    double reusable_share = 0;
    double token_reuse_share = 0; ///< Cached over reusable prompt tokens.
    std::uint64_t admissions = 0; ///< Starts of chat requests.
    /// Of these, those that put their server above the bound. Between starts
    /// the mean can fall below what a server holds, which no router can help.
    std::uint64_t admitted_above_bound = 0;
    double worst_admission_excess = 0; ///< Requests above the bound.
    std::uint64_t fell_over = 0;       ///< Backend servers, times.
    std::uint64_t overloaded = 0;      ///< Of these, by too much load.
};

struct skew_figures
{
    std::uint64_t samples = 0;
    double worst_ratio = 0; ///< Busiest over mean, mean of at least 1.
    double p99_ratio = 0;
    double mean_ratio = 0;
    /// Most by which the busiest exceeded bound x mean + 1; at most 0 when
    /// the bound held.
    double worst_excess = 0;
    std::uint64_t above_bound = 0; ///< Samples.
};

struct load_result
{
    std::map<std::string, class_figures> classes;
    double weighted_answered_share = 0; ///< By the weights of the classes.
    std::map<std::string, std::uint64_t> errors; ///< Last error by kind.
    std::map<std::string, double> answered_by_team;
    percentiles first_byte;
    percentiles between_chunks;
    percentiles whole_answer;
    double seconds = 0;
    double answered_per_second = 0;
    std::uint64_t extra_sends = 0;
    skew_figures skew;
    oracle_figures oracle;
};

/// Percentiles of `samples`, which are sorted by this.
percentiles summarise(std::vector<duration>& samples);

/// Skew of samples against `bound_percent` of the mean.
skew_figures summarise(std::vector<load_sample> const& samples,
                       std::uint32_t bound_percent);

/// Figures of the callers' side.
load_result summarise(std::vector<request_record> const& records,
                      std::vector<duration>& between_chunks,
                      config::document const& doc, duration length);

} // namespace bramleyarch::load
