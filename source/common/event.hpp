/// Events of the time line.
#pragma once

#include "common/enum_names.hpp"
#include "common/ids.hpp"

#include <cstdint>
#include <string>

namespace bramleyarch
{

enum class event_kind : std::uint8_t
{
    request_received,
    request_refused,
    candidate_chosen,
    offer_redirected,
    offer_queued,
    offer_admitted,
    attempt_sent,
    attempt_failed,
    retry_started,
    retry_denied,
    answer_completed,
    answer_failed,
    claim_won,
    claim_lost,
    claim_uncertain,
    claim_released,
    outcome_recorded,
    server_cold,
    server_warm,
    server_suspected,
    server_dead,
    breaker_opened,
    breaker_closed,
    body_suspected,
    body_quarantined,
    body_cleared,
    ownership_gained,
    ownership_lost,
    takeover_settled,
    member_joining,
    member_live,
    member_suspect,
    member_leaving,
    member_gone,
    link_opened,
    link_closed,
    link_silent,
    config_adopted,
    config_ignored,
    domain_taken_out,
    domain_returned,
    platform_lost,
    platform_recovered,
    drain_started,
    drain_finished,
    order_sent,
    order_refused,
    team_limited,
    process_started,
    process_stopped,
};

constexpr auto enum_names(event_kind)
{
    using k = event_kind;
    using row = enum_name<event_kind>;
    return std::array{
        row{k::request_received, "request_received"},
        row{k::request_refused, "request_refused"},
        row{k::candidate_chosen, "candidate_chosen"},
        row{k::offer_redirected, "offer_redirected"},
        row{k::offer_queued, "offer_queued"},
        row{k::offer_admitted, "offer_admitted"},
        row{k::attempt_sent, "attempt_sent"},
        row{k::attempt_failed, "attempt_failed"},
        row{k::retry_started, "retry_started"},
        row{k::retry_denied, "retry_denied"},
        row{k::answer_completed, "answer_completed"},
        row{k::answer_failed, "answer_failed"},
        row{k::claim_won, "claim_won"},
        row{k::claim_lost, "claim_lost"},
        row{k::claim_uncertain, "claim_uncertain"},
        row{k::claim_released, "claim_released"},
        row{k::outcome_recorded, "outcome_recorded"},
        row{k::server_cold, "server_cold"},
        row{k::server_warm, "server_warm"},
        row{k::server_suspected, "server_suspected"},
        row{k::server_dead, "server_dead"},
        row{k::breaker_opened, "breaker_opened"},
        row{k::breaker_closed, "breaker_closed"},
        row{k::body_suspected, "body_suspected"},
        row{k::body_quarantined, "body_quarantined"},
        row{k::body_cleared, "body_cleared"},
        row{k::ownership_gained, "ownership_gained"},
        row{k::ownership_lost, "ownership_lost"},
        row{k::takeover_settled, "takeover_settled"},
        row{k::member_joining, "member_joining"},
        row{k::member_live, "member_live"},
        row{k::member_suspect, "member_suspect"},
        row{k::member_leaving, "member_leaving"},
        row{k::member_gone, "member_gone"},
        row{k::link_opened, "link_opened"},
        row{k::link_closed, "link_closed"},
        row{k::link_silent, "link_silent"},
        row{k::config_adopted, "config_adopted"},
        row{k::config_ignored, "config_ignored"},
        row{k::domain_taken_out, "domain_taken_out"},
        row{k::domain_returned, "domain_returned"},
        row{k::platform_lost, "platform_lost"},
        row{k::platform_recovered, "platform_recovered"},
        row{k::drain_started, "drain_started"},
        row{k::drain_finished, "drain_finished"},
        row{k::order_sent, "order_sent"},
        row{k::order_refused, "order_refused"},
        row{k::team_limited, "team_limited"},
        row{k::process_started, "process_started"},
        row{k::process_stopped, "process_stopped"},
    };
}

/// Hybrid logical time: wall milliseconds that never run backwards, and a
/// counter that orders events within one millisecond.
struct hybrid_time
{
    std::uint64_t wall_ms = 0;
    std::uint32_t logical = 0;

    // The check mistakes the zero of a rewritten comparison for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(hybrid_time const&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(wall_ms, logical);
    }
};

/// One event. Ids that do not apply are empty.
struct event
{
    hybrid_time at;
    event_kind kind = event_kind::process_started;
    request_id request;
    server_id server;
    team_id team;
    revision config = 0;
    std::string cause; ///< Short reason in words.
};

} // namespace bramleyarch
