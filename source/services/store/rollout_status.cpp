/// Reads and writes of the stored status of rollouts.
#include "services/store/store_parts.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace bramleyarch::services
{

namespace
{

using decisions::status_call;
using decisions::status_failure;

std::string describe(decisions::status_record const& record)
{
    auto const stored = decisions::status_of(record);
    return fmt::format(
        "service={} order={} to={} wanted={} stored={} revision={}",
        record.order.service.value, record.order.changed,
        record.order.to_version, record.wanted ? to_name(*record.wanted) : "-",
        stored.changed != 0 ? to_name(stored.state) : "-",
        record.stored.changed);
}

/// Logs an event with what is known of the status and since when.
void log_status(store_state& state, rollout_sync const& sync,
                log_severity severity, std::string event,
                std::string const& details)
{
    log(state.telemetry_sink, severity, std::move(event),
        fmt::format("{} asked_ms={} {}", describe(sync.record),
                    to_ms(current_time(state) - sync.requested_at), details));
}

/// Sends what is stored to the routing service and publishes it.
void report_status(store_state& state, rollout_sync const& sync)
{
    auto const status = decisions::status_of(sync.record);
    send(state.routing, rollout_status_known{status});
    if (status.changed != 0)
        publish_effect(
            state, decisions::record_rollout_status(state.discovery, status));
}

/// Sends the call that is due, if any.
void send_due_call(store_state& state, rollout_sync& sync)
{
    auto& record = sync.record;
    auto const& codec = state.options.codec;
    auto const call = decisions::next_call(record, current_time(state));
    if (call == status_call::none)
        return;
    decisions::begin_call(record, call);
    sync.request = {};
    sync.requested_at = current_time(state);
    auto request =
        call == status_call::read
            ? codec.encode_status_read(record.order.service)
            : codec.encode_status_write({.service = record.order.service,
                                         .to_version = record.order.to_version,
                                         .state = record.writing,
                                         .order = record.order.changed},
                                        record.stored.changed);
    sync.request.id =
        send_request(state, std::move(request), state.options.request_timeout);
}

void handle_failure(store_state& state, rollout_sync& sync,
                    status_failure failure, std::string const& reason)
{
    auto& record = sync.record;
    bool const writing = record.in_flight == status_call::write;
    count(state.telemetry_sink, counter::platform_failures);
    count(state.telemetry_sink, failure == status_failure::lost && writing
                                    ? counter::rollout_writes_lost
                                    : counter::rollout_calls_failed);
    auto const call = record.in_flight;
    decisions::record_failure(record, failure,
                              current_time(state) +
                                  backoff_delay(state, record.failures + 1));
    log_status(state, sync, log_severity::warning, "rollout_call_failed",
               fmt::format("call={} failure={} failures={} reason=\"{}\"",
                           to_name(call), to_name(failure), record.failures,
                           reason));
}

void handle_read(store_state& state, rollout_sync& sync,
                 decisions::stored_status stored)
{
    decisions::record_stored(sync.record, std::move(stored));
    count(state.telemetry_sink, counter::rollout_statuses_read);
    log_status(state, sync, log_severity::info, "rollout_status_read", "");
    report_status(state, sync);
}

void handle_conflict(store_state& state, rollout_sync& sync,
                     decisions::stored_status stored)
{
    decisions::record_stored(sync.record, std::move(stored));
    count(state.telemetry_sink, counter::rollout_statuses_adopted);
    log_status(state, sync, log_severity::info, "rollout_status_adopted",
               fmt::format("own={}", to_name(sync.record.writing)));
    report_status(state, sync);
}

void handle_written(store_state& state, rollout_sync& sync, revision changed)
{
    decisions::record_written(sync.record, changed);
    count(state.telemetry_sink, counter::rollout_statuses_written);
    log_status(state, sync, log_severity::info, "rollout_status_written", "");
    report_status(state, sync);
}

/// True if the store states that it did nothing.
bool is_refusal(int status)
{
    return status == status_unavailable || status == status_too_many_calls;
}

/// Passes a decoded response on, or fails the call if it can't be decoded.
template <class Decoded, class Handler>
void handle_decoded(store_state& state, rollout_sync& sync,
                    Decoded const& decoded, Handler handler)
{
    if (decoded)
        handler(state, sync, decoded.value());
    else
        handle_failure(state, sync, status_failure::lost,
                       bramleyarch::describe(decoded.error()));
}

} // namespace

rollout_sync* find_rollout(store_state& state, std::uint64_t request_id)
{
    for (auto& [service, sync] : state.rollouts)
    {
        if (sync.request.id == request_id)
            return &sync;
    }
    return nullptr;
}

void update_rollouts(store_state& state)
{
    auto const& orders = state.discovery.deployment.rollouts;
    std::erase_if(
        state.rollouts,
        [&](auto const& entry)
        {
            auto const& [service, sync] = entry;
            auto const order = orders.find(service);
            if (order != orders.end() && order->second == sync.record.order)
                return false;
            if (sync.request.id != 0)
                state.transport.close(sync.request.id);
            log_status(state, sync, log_severity::info, "rollout_order_ended",
                       order == orders.end() ? "by=withdrawal"
                                             : "by=replacement");
            return true;
        });
    for (auto const& [service, order] : orders)
    {
        if (state.rollouts.contains(service))
            continue;
        auto& sync = state.rollouts[service];
        sync.record.order = order;
        sync.requested_at = current_time(state);
        send_due_call(state, sync);
    }
}

void restart_rollouts(store_state& state)
{
    for (auto& [service, sync] : state.rollouts)
    {
        if (sync.request.id != 0)
            state.transport.close(sync.request.id);
        sync.request = {};
        decisions::record_loss(sync.record);
        send_due_call(state, sync);
    }
}

void send_due_rollout_calls(store_state& state)
{
    for (auto& [service, sync] : state.rollouts)
        send_due_call(state, sync);
}

void apply_decision(store_state& state, rollout_decision const& decision)
{
    auto const found = state.rollouts.find(decision.service);
    if (found == state.rollouts.end() ||
        found->second.record.order.changed != decision.order ||
        found->second.record.order.to_version != decision.to_version)
    {
        count(state.telemetry_sink, counter::rollout_decisions_dropped);
        log(state.telemetry_sink, log_severity::info,
            "rollout_decision_dropped",
            fmt::format("service={} order={} to={} state={} in_force={}",
                        decision.service.value, decision.order,
                        decision.to_version, to_name(decision.state),
                        found == state.rollouts.end()
                            ? 0
                            : found->second.record.order.changed));
        return;
    }
    auto& sync = found->second;
    auto const before = sync.record.wanted;
    decisions::record_decision(sync.record, decision.state);
    if (sync.record.wanted != before)
        log_status(state, sync, log_severity::info, "rollout_decided", "");
    // A final state never changes. What else was stored may be outdated and is
    // not reported again.
    if (sync.record.is_read &&
        decisions::is_final(decisions::status_of(sync.record).state))
        report_status(state, sync);
    send_due_call(state, sync);
}

void handle_rollout_response(store_state& state, rollout_sync& sync)
{
    auto const response = std::exchange(sync.request, {});
    auto const& codec = state.options.codec;
    bool const reading = sync.record.in_flight == status_call::read;
    if (reading && response.status == status_ok)
        handle_decoded(state, sync, codec.decode_status_read(response.body),
                       handle_read);
    else if (reading && response.status == status_unknown_key)
        handle_read(state, sync, {});
    else if (!reading && response.status == status_ok)
        handle_decoded(state, sync, codec.decode_status_write(response.body),
                       handle_written);
    else if (!reading && response.status == status_condition_failed)
        handle_decoded(state, sync, codec.decode_status_conflict(response.body),
                       handle_conflict);
    else
        handle_failure(state, sync,
                       is_refusal(response.status) ? status_failure::refused
                                                   : status_failure::lost,
                       fmt::format("status {}", response.status));
    send_due_call(state, sync);
}

void handle_rollout_failure(store_state& state, rollout_sync& sync,
                            std::string const& reason)
{
    sync.request = {};
    handle_failure(state, sync, status_failure::lost, reason);
}

} // namespace bramleyarch::services
