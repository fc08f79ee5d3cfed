/// Counters of a process, one slot per kind.
///
/// A task adds to its own set and sends the increments to the metrics
/// service, so no counter is shared between tasks.
#pragma once

#include "common/enum_names.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace bramleyarch
{

enum class counter : std::uint8_t
{
    requests_received,
    requests_answered,
    requests_not_run,
    requests_unknown,
    requests_failed,
    requests_repeated, ///< Told the recorded answer of an earlier send.
    callers_gone,
    http_rejected,
    connections_accepted,
    connections_rejected,
    callers_paused,         ///< For want of memory, each time.
    rejected_for_memory,    ///< New requests.
    stalled_bodies_refused, ///< While memory was short.
    stalled_answers_closed, ///< While memory was short.
    idle_callers_closed,    ///< For want of connections.
    offers_sent,
    offers_accepted,
    offers_redirected,
    offers_queued,
    offers_refused,
    queue_expired,
    retries,
    retries_denied,
    requests_waited, ///< Waited before they were sent.
    sent_after_waiting,
    rejected_ahead, ///< Could not have been served in time.
    losses_retried,
    resumes,
    team_limited,
    claims_won,
    claims_lost,
    claims_uncertain,
    claims_released,
    claim_transactions,
    claims_read_back,
    store_restores,          ///< The store came back from an older copy.
    server_limits_stated,    ///< Set, changed or ended.
    server_limits_malformed, ///< Answers.
    requests_beyond_limits,  ///< Refused, since no server accepted more.
    servers_cold,
    slow_start_limited,
    breaker_opened,
    suspects_recorded,
    quarantines,
    backend_attempts,
    backend_connect_failed,
    backend_closed_early,
    backend_silent,
    answers_cut_in_head,
    answers_cut_in_body,
    answers_malformed,
    answers_foreign,
    streams_restarted,
    streams_not_continued,
    events_too_long,
    load_reports,
    load_reports_failed,
    load_figure_missing,
    load_not_a_number,
    load_too_many_figures,
    load_out_of_range,
    late_answers_dropped,
    sequence_gaps,
    link_frames_sent,
    link_frames_received,
    link_bytes_sent,
    link_bytes_received,
    link_protocol_errors,
    links_opened,
    links_closed,
    links_silent,
    heartbeats_sent,
    heartbeats_received,
    heartbeats_malformed,
    control_bytes_sent,
    control_bytes_received,
    members_suspected,
    members_gone,
    ownership_gained,
    ownership_lost,
    takeovers_settled,
    config_adopted,
    config_stale_ignored,
    config_fetched_from_peer,
    platform_calls,
    platform_failures,
    platform_watch_reopened,
    rollout_orders_ignored,
    rollout_decisions_dropped,
    rollout_statuses_read,
    rollout_statuses_written,
    rollout_statuses_adopted,
    rollout_writes_lost,
    rollout_calls_failed,
    orders_sent,
    orders_refused,
    events_dropped,
    rollouts_started,
    rollouts_ignored,
    rollout_versions_bad,
    rollout_decisions,
};

constexpr auto enum_names(counter)
{
    using c = counter;
    using row = enum_name<counter>;
    return std::array{
        row{c::requests_received, "requests_received"},
        row{c::requests_answered, "requests_answered"},
        row{c::requests_not_run, "requests_not_run"},
        row{c::requests_unknown, "requests_unknown"},
        row{c::requests_failed, "requests_failed"},
        row{c::requests_repeated, "requests_repeated"},
        row{c::callers_gone, "callers_gone"},
        row{c::http_rejected, "http_rejected"},
        row{c::connections_accepted, "connections_accepted"},
        row{c::connections_rejected, "connections_rejected"},
        row{c::callers_paused, "callers_paused"},
        row{c::rejected_for_memory, "rejected_for_memory"},
        row{c::stalled_bodies_refused, "stalled_bodies_refused"},
        row{c::stalled_answers_closed, "stalled_answers_closed"},
        row{c::idle_callers_closed, "idle_callers_closed"},
        row{c::offers_sent, "offers_sent"},
        row{c::offers_accepted, "offers_accepted"},
        row{c::offers_redirected, "offers_redirected"},
        row{c::offers_queued, "offers_queued"},
        row{c::offers_refused, "offers_refused"},
        row{c::queue_expired, "queue_expired"},
        row{c::retries, "retries"},
        row{c::retries_denied, "retries_denied"},
        row{c::requests_waited, "requests_waited"},
        row{c::sent_after_waiting, "sent_after_waiting"},
        row{c::rejected_ahead, "rejected_ahead"},
        row{c::losses_retried, "losses_retried"},
        row{c::resumes, "resumes"},
        row{c::team_limited, "team_limited"},
        row{c::claims_won, "claims_won"},
        row{c::claims_lost, "claims_lost"},
        row{c::claims_uncertain, "claims_uncertain"},
        row{c::claims_released, "claims_released"},
        row{c::claim_transactions, "claim_transactions"},
        row{c::claims_read_back, "claims_read_back"},
        row{c::store_restores, "store_restores"},
        row{c::server_limits_stated, "server_limits_stated"},
        row{c::server_limits_malformed, "server_limits_malformed"},
        row{c::requests_beyond_limits, "requests_beyond_limits"},
        row{c::servers_cold, "servers_cold"},
        row{c::slow_start_limited, "slow_start_limited"},
        row{c::breaker_opened, "breaker_opened"},
        row{c::suspects_recorded, "suspects_recorded"},
        row{c::quarantines, "quarantines"},
        row{c::backend_attempts, "backend_attempts"},
        row{c::backend_connect_failed, "backend_connect_failed"},
        row{c::backend_closed_early, "backend_closed_early"},
        row{c::backend_silent, "backend_silent"},
        row{c::answers_cut_in_head, "answers_cut_in_head"},
        row{c::answers_cut_in_body, "answers_cut_in_body"},
        row{c::answers_malformed, "answers_malformed"},
        row{c::answers_foreign, "answers_foreign"},
        row{c::streams_restarted, "streams_restarted"},
        row{c::streams_not_continued, "streams_not_continued"},
        row{c::events_too_long, "events_too_long"},
        row{c::load_reports, "load_reports"},
        row{c::load_reports_failed, "load_reports_failed"},
        row{c::load_figure_missing, "load_figure_missing"},
        row{c::load_not_a_number, "load_not_a_number"},
        row{c::load_too_many_figures, "load_too_many_figures"},
        row{c::load_out_of_range, "load_out_of_range"},
        row{c::late_answers_dropped, "late_answers_dropped"},
        row{c::sequence_gaps, "sequence_gaps"},
        row{c::link_frames_sent, "link_frames_sent"},
        row{c::link_frames_received, "link_frames_received"},
        row{c::link_bytes_sent, "link_bytes_sent"},
        row{c::link_bytes_received, "link_bytes_received"},
        row{c::link_protocol_errors, "link_protocol_errors"},
        row{c::links_opened, "links_opened"},
        row{c::links_closed, "links_closed"},
        row{c::links_silent, "links_silent"},
        row{c::heartbeats_sent, "heartbeats_sent"},
        row{c::heartbeats_received, "heartbeats_received"},
        row{c::heartbeats_malformed, "heartbeats_malformed"},
        row{c::control_bytes_sent, "control_bytes_sent"},
        row{c::control_bytes_received, "control_bytes_received"},
        row{c::members_suspected, "members_suspected"},
        row{c::members_gone, "members_gone"},
        row{c::ownership_gained, "ownership_gained"},
        row{c::ownership_lost, "ownership_lost"},
        row{c::takeovers_settled, "takeovers_settled"},
        row{c::config_adopted, "config_adopted"},
        row{c::config_stale_ignored, "config_stale_ignored"},
        row{c::config_fetched_from_peer, "config_fetched_from_peer"},
        row{c::platform_calls, "platform_calls"},
        row{c::platform_failures, "platform_failures"},
        row{c::platform_watch_reopened, "platform_watch_reopened"},
        row{c::rollout_orders_ignored, "rollout_orders_ignored"},
        row{c::rollout_decisions_dropped, "rollout_decisions_dropped"},
        row{c::rollout_statuses_read, "rollout_statuses_read"},
        row{c::rollout_statuses_written, "rollout_statuses_written"},
        row{c::rollout_statuses_adopted, "rollout_statuses_adopted"},
        row{c::rollout_writes_lost, "rollout_writes_lost"},
        row{c::rollout_calls_failed, "rollout_calls_failed"},
        row{c::orders_sent, "orders_sent"},
        row{c::orders_refused, "orders_refused"},
        row{c::events_dropped, "events_dropped"},
        row{c::rollouts_started, "rollouts_started"},
        row{c::rollouts_ignored, "rollouts_ignored"},
        row{c::rollout_versions_bad, "rollout_versions_bad"},
        row{c::rollout_decisions, "rollout_decisions"},
    };
}

/// One value per counter.
struct counter_set
{
    std::array<std::uint64_t, enum_size<counter>()> values{};
};

/// Adds `by` to one counter.
inline void add(counter_set& set, counter which, std::uint64_t by = 1)
{
    set.values[static_cast<std::size_t>(which)] += by;
}

/// Value of one counter.
inline std::uint64_t value_of(counter_set const& set, counter which)
{
    return set.values[static_cast<std::size_t>(which)];
}

/// Adds every counter of `increments` to `total`.
inline void merge(counter_set& total, counter_set const& increments)
{
    for (std::size_t i = 0; i < total.values.size(); ++i)
        total.values[i] += increments.values[i];
}

} // namespace bramleyarch
