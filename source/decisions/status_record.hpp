/// Status of one rollout in a store that all routers write to.
///
/// Each write has the condition that the stored status is the one that the
/// writer knows, so of two routers that decide differently one succeeds and the
/// other adopts its state. A write whose response is lost may still be executed
/// later, as long as its condition holds. It does no harm then: a later write
/// has the same condition, and only one of them is executed.
#pragma once

#include "common/enum_names.hpp"
#include "common/time.hpp"
#include "config/deployment.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace bramleyarch::decisions
{

/// The status key of a service as the store holds it.
struct stored_status
{
    revision changed = 0; ///< Of the key; 0: the key does not exist.
    /// std::nullopt if there is no key, or if its value can't be read. Such a
    /// value is overwritten like the status of an older order.
    std::optional<config::rollout_status> status;
};

enum class status_call
{
    none,
    read,
    write,
};

constexpr auto enum_names(status_call)
{
    using c = status_call;
    using row = enum_name<status_call>;
    return std::array{row{c::none, "none"}, row{c::read, "read"},
                      row{c::write, "write"}};
}

/// What is known of the stored status of an order, and what is to be stored.
struct status_record
{
    config::rollout_order order;
    bool is_read = false; ///< `stored` is what the store held last.
    stored_status stored;
    std::optional<config::rollout_state> wanted; ///< Decided by this router.
    status_call in_flight = status_call::none;
    config::rollout_state writing{}; ///< State in the write in flight.
    std::uint32_t failures = 0;      ///< Consecutive failures.
    time_point next_call{};          ///< Not before this time.
};

/// Why a call brought no result.
enum class status_failure
{
    refused, ///< Nothing was done.
    lost,    ///< A write may have been executed, or may be executed later.
};

constexpr auto enum_names(status_failure)
{
    using f = status_failure;
    using row = enum_name<status_failure>;
    return std::array{row{f::refused, "refused"}, row{f::lost, "lost"}};
}

/// True if a state of an order never changes again.
bool is_final(config::rollout_state state);

/// True if the status is that of the order. A status that names no order
/// belongs to an order of its version that was written before it.
bool belongs_to(config::rollout_status const& status,
                config::rollout_order const& order);

/// Records the state that this router decided on. It does not replace a final
/// state, stored or decided on, by `running`.
void record_decision(status_record& record, config::rollout_state state);

/// True if the decided state is not stored and may be written: no final state
/// of the order and no status of a newer order is stored.
bool needs_write(status_record const& record);

/// Returns the call that is due. What is stored is read before anything is
/// written.
status_call next_call(status_record const& record, time_point at);

/// Records that a call was sent.
void begin_call(status_record& record, status_call call);

/// Records what the store holds: the result of a read, or the present status
/// with which the store rejected a write.
void record_stored(status_record& record, stored_status stored);

/// Records that the write was executed at a revision.
void record_written(status_record& record, revision changed);

/// Records a call without a result. After a lost write, what is stored is read
/// before the next write.
void record_failure(status_record& record, status_failure failure,
                    time_point next_call);

/// Records that the store may have lost the status. It is read again, and
/// written again if it is missing.
void record_loss(status_record& record);

/// Returns the stored status of the order. If none is stored, the order is
/// running, and `changed` is 0.
config::rollout_status status_of(status_record const& record);

} // namespace bramleyarch::decisions
