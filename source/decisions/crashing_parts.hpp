/// Refusal of requests whose prompt has a part that crashes servers.
///
/// Such a part crashes each server that starts to answer a request with it,
/// before or after the first bytes of the answer. The requests with it differ
/// in everything else, and sound requests share their other parts, so the parts
/// are judged, not the requests. A part is suspected when a server crashed at
/// the start of an answer to a request with it. It is cleared by a later answer
/// that is whole or goes on past its start, at any router: routers tell each
/// other of crashes and of the answers that clear parts. Parts that crashed the
/// same servers can't be told apart: a request is refused if it has all of
/// them, and one that has only some shows which are sound. What is refused is
/// tried again one request at a time, so that a sound part is not refused for
/// long.
#pragma once

#include "common/ids.hpp"
#include "common/request.hpp"
#include "common/time.hpp"

#include <cstdint>
#include <optional>
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
    /// Time without a crash after which one request with a refused part is
    /// tried, and after which the next one is.
    duration trial_interval = std::chrono::seconds{3};
    /// Failed trials of a part after which none follows. Each may crash a
    /// server.
    std::size_t max_failed_trials = 1;
    /// Time from the first byte of an answer after which its server would have
    /// crashed if a part of the prompt crashed servers. Spans several events.
    duration answer_start = std::chrono::seconds{1};
    /// Time for which crashes and answers are kept.
    duration retention = std::chrono::minutes{10};
    /// Crashes that are kept of one part: those that lead to a refusal, and
    /// later ones. More than `max_crashes` and one.
    std::size_t max_crashes_kept = 16;
    /// Beyond this number, no further parts are suspected.
    std::size_t max_suspects = 1024;
    /// Beyond this number, no further parts are noted as answered.
    std::size_t max_answered = 16'384;
};

/// A server that crashed at the start of the answer to a request, or before.
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

/// An answer to a request with a part, which clears it of earlier crashes.
struct part_answer
{
    std::uint64_t part = 0;
    time_point at{}; ///< When the answer was whole, or past its start.
};

/// Progress of the answer to one attempt of a request.
struct answer_in_progress
{
    std::optional<time_point> first_byte_at;
    bool is_past_start = false;
};

struct crashing_parts
{
    crashing_parts_options options;
    /// Crashes by the id of the part, each in order of their times.
    std::unordered_map<std::uint64_t, std::vector<part_crash>> suspects;
    /// Time of the last answer to a request with the part, by its id.
    std::unordered_map<std::uint64_t, time_point> answered_at;
    /// Start of the last trial of this router, by the id of the part.
    std::unordered_map<std::uint64_t, time_point> tried_at;
};

/// Returns the ids of the parts of a prompt that may have crashed a server at
/// `at`: all but the last, which no other request has, and those answered
/// since.
std::vector<std::uint64_t>
suspected_parts(crashing_parts const& state,
                std::vector<prompt_part> const& prompt, time_point at);

/// Records a crash, seen by this router or another, for the parts that have not
/// been answered since. Returns true if it was not recorded before for all of
/// them.
bool record_prompt_crash(crashing_parts& state, prompt_crash const& crash);

/// Records that bytes of an answer arrived at `at`. Returns true once, when the
/// answer is past its start.
bool record_answer_bytes(answer_in_progress& answer,
                         crashing_parts_options const& options, time_point at);

/// Records that the answer to a request of this router was whole, or past its
/// start, at `at`, which clears the parts of its prompt except the last.
/// Returns those of them that were suspected, for the other routers.
std::vector<part_answer>
record_prompt_answer(crashing_parts& state,
                     std::vector<prompt_part> const& prompt, time_point at);

/// Records an answer that another router has seen. Returns true if it cleared
/// the part of a crash.
bool record_part_answer(crashing_parts& state, part_answer const& answer);

/// Returns the answers that clear parts of a crash which another router
/// reported.
std::vector<part_answer> answers_since(crashing_parts const& state,
                                       prompt_crash const& crash);

/// Returns whether a request with this prompt is refused.
bool should_refuse(crashing_parts const& state,
                   std::vector<prompt_part> const& prompt);

/// Returns whether this router may send one request with a prompt that is
/// refused, to find out whether its parts are sound. In each interval, one
/// router of those that know each other may. Records the trial.
bool start_trial(crashing_parts& state, std::vector<prompt_part> const& prompt,
                 router_id const& self, std::vector<router_id> const& others,
                 time_point at);

/// Returns those crashes because of which parts may be refused, to be sent to
/// routers that started after them.
std::vector<prompt_crash> crashes_to_repeat(crashing_parts const& state);

/// Removes the crashes and answers that have expired at `at`.
void remove_expired(crashing_parts& state, time_point at);

} // namespace bramleyarch::decisions
