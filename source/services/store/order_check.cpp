/// Reads of the orders of services that have servers of a new version.
///
/// Orders and entries of servers arrive by separate watches. An entry may
/// arrive before the order that was written first. The watch of the operators'
/// records does not tell soon that nothing was written, so the order's key is
/// read.
#include "services/store/store_parts.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace bramleyarch::services
{

order_check* find_order_check(store_state& state, std::uint64_t request_id)
{
    for (auto& [service, check] : state.order_checks)
    {
        if (check.request.id == request_id)
            return &check;
    }
    return nullptr;
}

void send_due_order_checks(store_state& state)
{
    auto const held = decisions::services_with_held_servers(state.discovery);
    std::erase_if(state.order_checks,
                  [&](auto const& entry) {
                      return entry.second.request.id == 0 &&
                             !held.contains(entry.first);
                  });
    auto const at = current_time(state);
    for (auto const& [service, newest_entry] : held)
    {
        auto& check = state.order_checks[service];
        if (check.request.id != 0 || at < check.next_call)
            continue;
        check.newest_entry = newest_entry;
        check.request = {};
        check.request.id =
            send_request(state, state.options.codec.encode_order_read(service),
                         state.options.request_timeout);
    }
}

void handle_order_response(store_state& state, order_check& check)
{
    auto const response = std::exchange(check.request, {});
    if (response.status != status_ok && response.status != status_unknown_key)
    {
        handle_order_failure(state, check,
                             fmt::format("status {}", response.status));
        return;
    }
    auto const read = state.options.codec.decode_order_read(response.body);
    if (!read && response.status == status_ok)
    {
        handle_order_failure(state, check, describe(read.error()));
        return;
    }
    auto const batch = read ? read.value() : record_batch{};
    check.failures = 0;
    check.next_call = {};
    auto const found = std::find_if(
        state.order_checks.begin(), state.order_checks.end(),
        [&](auto const& entry) { return &entry.second == &check; });
    // The request was sent after the entries arrived, so the response is at
    // least as new as they are.
    auto const as_of = std::max(batch.as_of, check.newest_entry);
    log(state.telemetry_sink, log_severity::info, "rollout_order_read",
        fmt::format("service={} found={} revision={}", found->first.value,
                    !batch.changes.empty(), as_of));
    apply_changes(state, batch.changes);
    publish_effect(state,
                   decisions::record_order_read(state.discovery, found->first,
                                                as_of, current_time(state)));
}

void handle_order_failure(store_state& state, order_check& check,
                          std::string const& reason)
{
    check.request = {};
    check.next_call =
        current_time(state) + backoff_delay(state, ++check.failures);
    count(state.telemetry_sink, counter::platform_failures);
    log(state.telemetry_sink, log_severity::warning, "store_call_failed",
        fmt::format("call=order failures={} reason=\"{}\"", check.failures,
                    reason));
}

} // namespace bramleyarch::services
