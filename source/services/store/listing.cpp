/// The lease under which this router is listed.
#include "services/store/store_parts.hpp"

#include <fmt/format.h>
#include <utility>

namespace bramleyarch::services
{

namespace
{

void write_listing(store_state& state)
{
    state.listing = listing_stage::writing;
    state.keep.id = open_call(state,
                              state.options.codec.encode_registration(
                                  state.options.self, state.lease),
                              state.options.call_limit);
}

/// Of two routers that start together, the one listed last reads of the other,
/// which then learns of it by its beats.
void read_routers(store_state& state)
{
    auto& routers = group_of(state, record_group::routers);
    if (routers.stage != follow_stage::idle)
        return;
    routers.age = list_consistency::current;
    follow(state, routers);
}

} // namespace

void keep_failed(store_state& state, std::string const& why)
{
    count(state.counted, counter::platform_failures);
    log(state.counted, log_severity::warning, "store_call_failed",
        fmt::format("call=lease stage={} reason=\"{}\"", to_name(state.listing),
                    why));
    if (state.listing == listing_stage::renewing)
    {
        state.listing = listing_stage::listed;
        doubt_watches(state, "a renewal failed");
    }
    else
        state.listing = listing_stage::unlisted;
    state.keep_at = now_of(state) + state.options.last_retry;
}

void end_keep(store_state& state)
{
    auto const call = std::exchange(state.keep, {});
    if (state.listing == listing_stage::ending)
        return;
    bool const renewal = state.listing == listing_stage::renewing;
    if (call.status == status_unknown_lease)
    {
        state.listing = listing_stage::unlisted;
        state.keep_at = now_of(state);
        log(state.counted, log_severity::warning, "lease_ended",
            fmt::format("lease={}", state.lease));
        return;
    }
    if (call.status != status_ok)
    {
        keep_failed(state, fmt::format("status {}", call.status));
        return;
    }
    if (state.listing == listing_stage::leasing)
    {
        auto const lease = state.options.codec.decode_lease_grant(call.body);
        if (!lease)
        {
            keep_failed(state, describe(lease.error()));
            return;
        }
        state.lease = lease.value();
        write_listing(state);
        return;
    }
    state.listing = listing_stage::listed;
    state.keep_at = now_of(state) + state.options.lease_renewal;
    if (renewal)
        return;
    log(state.counted, log_severity::info, "router_listed",
        fmt::format("lease={}", state.lease));
    read_routers(state);
}

void keep_listed(store_state& state)
{
    if (state.keep.id != 0 || state.draining || now_of(state) < state.keep_at)
        return;
    if (state.listing == listing_stage::unlisted)
    {
        state.listing = listing_stage::leasing;
        state.keep.id = open_call(
            state,
            state.options.codec.encode_lease_grant(state.options.lease_ttl),
            state.options.call_limit);
    }
    else if (state.listing == listing_stage::listed)
    {
        state.listing = listing_stage::renewing;
        state.keep.id = open_call(
            state, state.options.codec.encode_lease_renewal(state.lease),
            state.options.renewal_limit);
    }
}

void leave_list(store_state& state)
{
    state.draining = true;
    if (state.listing == listing_stage::unlisted || state.lease == 0)
        return;
    if (state.keep.id != 0)
        state.transport.close(state.keep.id);
    state.listing = listing_stage::ending;
    state.keep = {};
    state.keep.id = open_call(
        state, state.options.codec.encode_lease_revocation(state.lease),
        state.options.call_limit);
}

} // namespace bramleyarch::services
