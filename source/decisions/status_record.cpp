#include "decisions/status_record.hpp"

#include <utility>

namespace bramleyarch::decisions
{

namespace
{

/// Returns the stored status if it is that of the order.
config::rollout_status const* find_own_status(status_record const& record)
{
    auto const& status = record.stored.status;
    return status && belongs_to(*status, record.order) ? &*status : nullptr;
}

void end_call(status_record& record)
{
    record.in_flight = status_call::none;
    record.failures = 0;
    record.next_call = {};
}

} // namespace

bool is_final(config::rollout_state state)
{
    return state != config::rollout_state::running;
}

bool belongs_to(config::rollout_status const& status,
                config::rollout_order const& order)
{
    if (status.order != 0)
        return status.order == order.changed;
    return status.to_version == order.to_version &&
           status.changed > order.changed;
}

void record_decision(status_record& record, config::rollout_state state)
{
    if (!record.wanted || is_final(state))
        record.wanted = state;
}

bool needs_write(status_record const& record)
{
    if (!record.wanted)
        return false;
    if (auto const* const own = find_own_status(record))
        return !is_final(own->state) && is_final(*record.wanted);
    // A newer order's status stays; the order itself will arrive.
    return !record.stored.status ||
           record.stored.status->order < record.order.changed;
}

status_call next_call(status_record const& record, time_point at)
{
    if (record.in_flight != status_call::none || at < record.next_call)
        return status_call::none;
    if (!record.is_read)
        return status_call::read;
    return needs_write(record) ? status_call::write : status_call::none;
}

void begin_call(status_record& record, status_call call)
{
    record.in_flight = call;
    if (call == status_call::write)
        record.writing = *record.wanted;
}

void record_loss(status_record& record)
{
    end_call(record);
    if (auto const* const own = find_own_status(record))
        record_decision(record, own->state);
    record.is_read = false;
}

void record_stored(status_record& record, stored_status stored)
{
    end_call(record);
    record.is_read = true;
    record.stored = std::move(stored);
}

void record_written(status_record& record, revision changed)
{
    end_call(record);
    record.stored = {
        .changed = changed,
        .status = config::rollout_status{.service = record.order.service,
                                         .to_version = record.order.to_version,
                                         .state = record.writing,
                                         .order = record.order.changed,
                                         .changed = changed}};
}

void record_failure(status_record& record, status_failure failure,
                    time_point next_call)
{
    if (record.in_flight == status_call::write &&
        failure == status_failure::lost)
        record.is_read = false;
    record.in_flight = status_call::none;
    ++record.failures;
    record.next_call = next_call;
}

config::rollout_status status_of(status_record const& record)
{
    if (auto const* const own = find_own_status(record))
    {
        auto status = *own;
        status.order = record.order.changed;
        return status;
    }
    return {.service = record.order.service,
            .to_version = record.order.to_version,
            .state = config::rollout_state::running,
            .order = record.order.changed};
}

} // namespace bramleyarch::decisions
