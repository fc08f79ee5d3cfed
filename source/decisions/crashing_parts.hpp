/// Refusal of requests whose prompt has a part that crashes servers.
///
/// Such a part crashes each server that starts to answer a request with it.
/// The requests with it differ in everything else, and sound requests share
/// their other parts, so the parts are judged, not the requests. A part is
/// suspected when a server crashed before it had sent any byte of an answer to
/// a request with it, and cleared when a request with it is answered. Parts
/// that crashed the same servers can't be told apart: a request is refused if
/// it has all of them, and one that has only some shows which are sound.
#pragma once

#include "common/request.hpp"
#include "common/time.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace bramleyarch::decisions
{

struct crashing_parts_options
{
    /// Number of crashes after which requests with a part are refused.
    std::size_t max_crashes = 3;
    /// Crashes that follow each other in a shorter time count as one: a fault
    /// of the network breaks the connections to many servers at once.
    duration min_crash_interval = std::chrono::milliseconds{250};
    /// Time after an answer for which a part is not suspected. Each router
    /// answers a part that many requests share several times as often.
    duration proven_time = std::chrono::minutes{1};
    /// Time for which crashes are kept.
    duration retention = std::chrono::minutes{10};
    /// Crashes that are kept of one part; more show nothing new.
    std::size_t max_crashes_kept = 16;
    /// Beyond this number, no further parts are suspected.
    std::size_t max_suspects = 1024;
    /// Beyond this number, no further parts are noted as answered.
    std::size_t max_proven = 8192;
};

/// A server that crashed before it sent any byte of the answer to a request.
struct prompt_crash
{
    /// Hash of one run of the server, from its start to its crash.
    std::uint64_t server = 0;
    time_point at{};
    /// Ids of the parts of the request that may have crashed the server.
    std::vector<std::uint64_t> parts;
};

/// One crash of a suspected part.
struct part_crash
{
    std::uint64_t server = 0; ///< As in `prompt_crash`.
    time_point at{};
};

struct crashing_parts
{
    crashing_parts_options options;
    /// Crashes by the id of the part, each in order of their times.
    std::unordered_map<std::uint64_t, std::vector<part_crash>> suspects;
    /// Time of the last answer to a request with the part, by its id.
    std::unordered_map<std::uint64_t, time_point> answered_at;
};

/// Returns the ids of the parts of a prompt that may crash servers: all but
/// the last, which no other request has, and those answered lately.
std::vector<std::uint64_t>
unproven_parts(crashing_parts const& state,
               std::vector<prompt_part> const& prompt, time_point at);

/// Records a crash, seen by this router or another, for the parts that were not
/// answered lately. Returns true if it was not recorded before for all of them.
bool record_prompt_crash(crashing_parts& state, prompt_crash const& crash,
                         time_point at);

/// Clears the parts of a prompt, except the last, that a server answered.
void record_prompt_answer(crashing_parts& state,
                          std::vector<prompt_part> const& prompt,
                          time_point at);

/// Returns whether a request with this prompt is refused.
bool should_refuse(crashing_parts const& state,
                   std::vector<prompt_part> const& prompt);

/// Returns those crashes because of which parts may be refused, to be sent to
/// routers that started after them.
std::vector<prompt_crash> crashes_to_repeat(crashing_parts const& state);

/// Removes the crashes and answers that have expired at `at`.
void remove_expired(crashing_parts& state, time_point at);

} // namespace bramleyarch::decisions
