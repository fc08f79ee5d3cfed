/// Registration of this router in the store, under a lease.
#include "services/store/store_parts.hpp"

#include <fmt/format.h>
#include <utility>

namespace bramleyarch::services
{

namespace
{

/// Writes this router's record under the lease.
void send_registration(store_state& state)
{
    state.registration = registration_stage::writing_record;
    state.lease_request.id =
        send_request(state,
                     state.options.codec.encode_registration(state.options.self,
                                                             state.lease),
                     state.options.request_timeout);
}

/// Requests an up-to-date list of the routers. Of two routers that start
/// together, the one registered last finds the other in this list; the other
/// learns of it by its heartbeats.
void refresh_routers(store_state& state)
{
    auto& routers = sync_of(state, record_group::routers);
    if (routers.stage != sync_stage::idle)
        return;
    routers.consistency = list_consistency::current;
    send_sync_request(state, routers);
}

} // namespace

void handle_lease_failure(store_state& state, std::string const& reason)
{
    count(state.telemetry_sink, counter::platform_failures);
    log(state.telemetry_sink, log_severity::warning, "store_call_failed",
        fmt::format("call=lease stage={} reason=\"{}\"",
                    to_name(state.registration), reason));
    if (state.registration == registration_stage::renewing_lease)
    {
        state.registration = registration_stage::registered;
        restart_watches(state, "lease renewal failed");
    }
    else
        state.registration = registration_stage::unregistered;
    state.next_lease_request = current_time(state) + state.options.max_backoff;
}

void handle_lease_response(store_state& state)
{
    auto const response = std::exchange(state.lease_request, {});
    if (state.registration == registration_stage::revoking_lease)
        return;
    bool const renewal =
        state.registration == registration_stage::renewing_lease;
    if (response.status == status_unknown_lease)
    {
        state.registration = registration_stage::unregistered;
        state.next_lease_request = current_time(state);
        log(state.telemetry_sink, log_severity::warning, "lease_ended",
            fmt::format("lease={}", state.lease));
        return;
    }
    if (response.status != status_ok)
    {
        handle_lease_failure(state, fmt::format("status {}", response.status));
        return;
    }
    if (state.registration == registration_stage::granting_lease)
    {
        auto const lease =
            state.options.codec.decode_lease_grant(response.body);
        if (!lease)
        {
            handle_lease_failure(state, describe(lease.error()));
            return;
        }
        state.lease = lease.value();
        send_registration(state);
        return;
    }
    state.registration = registration_stage::registered;
    state.next_lease_request =
        current_time(state) + state.options.lease_renewal_interval;
    if (renewal)
        return;
    log(state.telemetry_sink, log_severity::info, "router_listed",
        fmt::format("lease={}", state.lease));
    refresh_routers(state);
}

void send_due_lease_request(store_state& state)
{
    if (state.lease_request.id != 0 || state.draining ||
        current_time(state) < state.next_lease_request)
        return;
    if (state.registration == registration_stage::unregistered)
    {
        state.registration = registration_stage::granting_lease;
        state.lease_request.id = send_request(
            state,
            state.options.codec.encode_lease_grant(state.options.lease_ttl),
            state.options.request_timeout);
    }
    else if (state.registration == registration_stage::registered)
    {
        state.registration = registration_stage::renewing_lease;
        state.lease_request.id = send_request(
            state, state.options.codec.encode_lease_renewal(state.lease),
            state.options.renewal_timeout);
    }
}

void restart_registration(store_state& state)
{
    if (state.draining)
        return;
    if (state.lease_request.id != 0)
        state.transport.close(state.lease_request.id);
    state.lease_request = {};
    state.registration = registration_stage::unregistered;
    // All routers do this at the same time, so that the delay is the longest.
    constexpr std::uint32_t failures = 4;
    state.next_lease_request =
        current_time(state) + backoff_delay(state, failures);
}

void deregister_router(store_state& state)
{
    state.draining = true;
    if (state.registration == registration_stage::unregistered ||
        state.lease == 0)
        return;
    if (state.lease_request.id != 0)
        state.transport.close(state.lease_request.id);
    state.registration = registration_stage::revoking_lease;
    state.lease_request = {};
    state.lease_request.id = send_request(
        state, state.options.codec.encode_lease_revocation(state.lease),
        state.options.request_timeout);
}

} // namespace bramleyarch::services
