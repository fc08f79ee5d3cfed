#include "services/embedded_platform/embedded_platform_service.hpp"

#include "services/messages/names.hpp"

#include <algorithm>

namespace bramleyarch::services
{

namespace
{

using platform_context = kernel::context<platform_message>;
using state_type = embedded_platform_state;

constexpr duration sweep_interval = std::chrono::seconds{10};

bool holds(state_type const& state, kv_compare const& condition)
{
    auto const found = state.entries.find(condition.key);
    bool const exists = found != state.entries.end();
    switch (condition.target)
    {
    case kv_compare_target::create_revision:
        return condition.number == (exists ? found->second.create_revision : 0);
    case kv_compare_target::mod_revision:
        return condition.number == (exists ? found->second.mod_revision : 0);
    case kv_compare_target::value:
        return exists && found->second.value == condition.value;
    }
    return false;
}

std::vector<kv_entry> read(state_type const& state, kv_operation const& op)
{
    std::vector<kv_entry> found;
    auto const first = state.entries.lower_bound(op.key);
    for (auto at = first; at != state.entries.end(); ++at)
    {
        bool const within = op.range_end.empty() ? at->first == op.key
                                                 : at->first < op.range_end;
        if (!within)
            break;
        found.push_back({.key = at->first,
                         .value = at->second.value,
                         .create_revision = at->second.create_revision,
                         .mod_revision = at->second.mod_revision});
    }
    return found;
}

void put(state_type& state, kv_operation const& op)
{
    auto& entry = state.entries[op.key];
    if (entry.create_revision == 0)
        entry.create_revision = state.revision;
    entry.mod_revision = state.revision;
    entry.value = op.value;
    entry.lease = op.lease;
}

kv_transaction_reply run(state_type& state, kv_transaction const& txn)
{
    kv_transaction_reply reply;
    reply.succeeded =
        std::all_of(txn.conditions.begin(), txn.conditions.end(),
                    [&](auto const& c) { return holds(state, c); });
    ++state.revision;
    for (auto const& op : reply.succeeded ? txn.on_success : txn.on_failure)
    {
        switch (op.action)
        {
        case kv_action::put:
            put(state, op);
            break;
        case kv_action::erase:
            state.entries.erase(op.key);
            break;
        case kv_action::range:
            reply.ranges.push_back(read(state, op));
            break;
        }
    }
    reply.revision = state.revision;
    return reply;
}

void handle(state_type& state, platform_context&,
            run_kv_transaction const& call)
{
    if (state.entries.size() >= state.options.max_entries)
    {
        call.reply(fail(error_kind::platform_unavailable,
                        "the embedded key-value service is full"));
        return;
    }
    call.reply(run(state, call.transaction));
}

void handle(state_type& state, platform_context& ctx,
            create_kv_lease const& call)
{
    state.lease_ends[++state.last_lease] = now(ctx) + call.ttl;
    call.reply(state.last_lease);
}

void handle(state_type& state, platform_context& ctx, platform_tick const&)
{
    auto const at = now(ctx);
    std::erase_if(state.lease_ends,
                  [at](auto const& lease) { return lease.second <= at; });
    std::erase_if(state.entries,
                  [&](auto const& row)
                  {
                      return row.second.lease != 0 &&
                             !state.lease_ends.contains(row.second.lease);
                  });
    schedule(ctx, sweep_interval, platform_tick{});
}

void handle(state_type&, platform_context&, status_query const& query)
{
    query.reply(R"({"mode":"embedded"})");
}

/// Watches and drains mean nothing here.
template <class Ignored>
void handle(state_type&, platform_context&, Ignored const&)
{
}

void start(state_type&, platform_context& ctx)
{
    schedule(ctx, sweep_interval, platform_tick{});
}

void receive(state_type& state, platform_context& ctx, platform_message message)
{
    std::visit([&](auto const& received) { handle(state, ctx, received); },
               message);
}

} // namespace

kernel::service<embedded_platform_state, platform_message>
make_embedded_platform_service(embedded_platform_options options)
{
    return {.name = std::string{to_name(service_name::platform)},
            .state = {.options = options},
            .start = start,
            .receive = receive};
}

} // namespace bramleyarch::services
