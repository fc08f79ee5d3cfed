#include "services/platform/instances.hpp"

#include "etcd/etcd_replies.hpp"

#include <algorithm>

namespace bramleyarch::services
{

namespace
{

using clock_function = std::function<time_point()>;

/// The lease is renewed every ttl / `renewals_per_ttl`.
constexpr int renewals_per_ttl = 3;
/// A failed grant, renewal or write is retried after ttl / `retries_per_ttl`.
constexpr int retries_per_ttl = 6;

void schedule_retry(instance_state& state, time_point at)
{
    state.registering = false;
    state.register_at = at + state.options.ttl / retries_per_ttl;
}

void schedule_renewal(instance_state& state, time_point at)
{
    bool const up_to_date = state.leaving == state.leaving_written;
    state.registering = false;
    state.register_at =
        up_to_date ? at + state.options.ttl / renewals_per_ttl : at;
}

void write_record(instance_state& state, call_table& calls, time_point at,
                  clock_function const& clock)
{
    auto record = state.options.self();
    record.leaving = state.leaving;
    auto const request = etcd::encode_transaction(
        {.on_success = {{.action = etcd::kv_action::put,
                         .key = state.options.prefix + record.id.value,
                         .value = etcd::encode_instance(record),
                         .lease = state.lease}}});
    auto const done = [&state, clock, leaving = record.leaving](
                          result<call_reply> const& reply)
    {
        bool const written =
            reply &&
            etcd::decode_transaction(reply.value().status, reply.value().body);
        if (written)
        {
            state.leaving_written = leaving;
            return schedule_renewal(state, clock());
        }
        state.lease = 0;
        schedule_retry(state, clock());
    };
    start_call(calls, request, state.options.call_timeout, done, at);
}

void grant_lease(instance_state& state, call_table& calls, time_point at,
                 clock_function const& clock)
{
    auto const done = [&state, &calls, clock](result<call_reply> const& reply)
    {
        if (!reply)
            return schedule_retry(state, clock());
        auto const lease =
            etcd::decode_lease_grant(reply.value().status, reply.value().body);
        if (!lease)
            return schedule_retry(state, clock());
        state.lease = lease.value();
        write_record(state, calls, clock(), clock);
    };
    start_call(calls, etcd::encode_lease_grant(state.options.ttl),
               state.options.call_timeout, done, at);
}

void renew_lease(instance_state& state, call_table& calls, time_point at,
                 clock_function const& clock)
{
    auto const done = [&state, clock](result<call_reply> const& reply)
    {
        if (!reply)
            return schedule_retry(state, clock());
        auto const remaining = etcd::decode_lease_keep_alive(
            reply.value().status, reply.value().body);
        if (remaining && remaining.value() > 0)
            return schedule_renewal(state, clock());
        if (remaining)
            state.lease = 0; // It expired, as after a pause of the process.
        schedule_retry(state, clock());
    };
    start_call(calls, etcd::encode_lease_keep_alive(state.lease),
               state.options.call_timeout, done, at);
}

void send_list(instance_state const& state,
               std::vector<etcd::kv_entry> const& entries)
{
    instances_listed listed;
    for (auto const& entry : entries)
    {
        auto const record = etcd::decode_instance(state.options.prefix, entry);
        if (record)
            listed.instances.push_back({.id = record->id,
                                        .domain = record->domain,
                                        .heartbeat = record->heartbeat,
                                        .leaving = record->leaving});
    }
    send(state.members, std::move(listed));
}

/// Returns the time until the next read after a list of this size.
duration list_delay(instance_options const& options, std::size_t bytes)
{
    auto const seconds = static_cast<double>(bytes) /
                         static_cast<double>(options.list_bytes_per_second);
    auto const needed = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{seconds});
    return std::max(options.list_interval, needed);
}

void read_list(instance_state& state, call_table& calls, time_point at,
               clock_function const& clock)
{
    auto const& prefix = state.options.prefix;
    auto const request = etcd::encode_transaction(
        {.on_success = {{.action = etcd::kv_action::range,
                         .key = prefix,
                         .range_end = etcd::end_of_prefix(prefix)}}});
    auto const done = [&state, clock](result<call_reply> const& reply)
    {
        state.listing = false;
        state.list_at = clock() + state.options.list_interval;
        if (!reply)
            return;
        auto const read =
            etcd::decode_transaction(reply.value().status, reply.value().body);
        if (!read || read.value().ranges.empty())
            return;
        state.list_at =
            clock() + list_delay(state.options, reply.value().body.size());
        send_list(state, read.value().ranges.front());
    };
    start_call(calls, request, state.options.call_timeout, done, at);
}

} // namespace

void tick_instances(instance_state& state, call_table& calls, time_point at,
                    clock_function const& clock)
{
    if (!state.listing && at >= state.list_at)
    {
        state.listing = true;
        read_list(state, calls, at, clock);
    }
    if (state.registering || at < state.register_at || !state.options.self ||
        state.options.self().heartbeat.port == 0)
        return;
    state.registering = true;
    if (state.lease == 0)
        grant_lease(state, calls, at, clock);
    else
        renew_lease(state, calls, at, clock);
}

void announce_leaving(instance_state& state, time_point at)
{
    if (state.leaving)
        return;
    state.leaving = true;
    // Granting a new lease writes the record with the new state.
    state.lease = 0;
    state.register_at = at;
}

} // namespace bramleyarch::services
