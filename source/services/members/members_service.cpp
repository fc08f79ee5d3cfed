#include "services/members/members_service.hpp"

#include "services/loops/asio_loop.hpp"
#include "services/members/members_core.hpp"
#include "services/messages/names.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace bramleyarch::services
{

namespace
{

using namespace bramleyarch::decisions;

/// Minimum time after which unchanged loads are advertised again.
constexpr duration load_refresh_interval = seconds{2};

/// Interval between reports of counters to the metrics service.
constexpr duration report_interval = seconds{1};

void find_services(members_core& core, kernel::registry const& names)
{
    using n = service_name;
    core.routing = names.find<routing_message>(to_name(n::routing));
    core.owner = names.find<owner_message>(to_name(n::owner));
    core.link = names.find<link_message>(to_name(n::link));
    core.claims = names.find<claims_message>(to_name(n::claims));
    core.configuration =
        names.find<configuration_message>(to_name(n::configuration));
    core.admin = names.find<admin_message>(to_name(n::admin));
    core.timeline = names.find<timeline_message>(to_name(n::timeline));
    core.metrics = names.find<metrics_message>(to_name(n::metrics));
}

/// Replaces an empty address by that of `listen` and port 0 by the bound port.
void fill_endpoint(endpoint& at, endpoint const& listen,
                   std::shared_ptr<std::atomic<std::uint16_t>> const& bound)
{
    if (at.address.empty())
        at.address = listen.address;
    if (at.port == 0 && bound)
        at.port = *bound;
}

void start(members_state& state, kernel::context<members_message>& ctx)
{
    auto const& options = state.options;
    state.core.reset(new members_core{.clock = ctx.clock});
    auto& core = *state.core;
    find_services(core, *ctx.names);
    if (open_socket(core, options.listen))
        *options.bound_port = core.socket.local_endpoint().port();
    auto self = options.self;
    fill_endpoint(self.heartbeat, options.listen, options.bound_port);
    fill_endpoint(self.link, options.listen, options.link_port);
    fill_endpoint(self.admin, options.listen, options.admin_port);
    core.protocol_state =
        make_protocol(options.protocol, std::move(self), now(ctx));
    core.reported_at = now(ctx);
    schedule(ctx, duration::zero(), members_tick{});
}

void handle(members_core& core, instances_listed const& message)
{
    auto& members = core.protocol_state.members;
    members.listed_at = now(core);
    members.listed_domains.clear();
    core.protocol_state.listed_endpoints.clear();
    for (auto const& instance : message.instances)
    {
        core.protocol_state.listed_endpoints.push_back(instance.heartbeat);
        if (!instance.leaving)
            members.listed_domains.insert(instance.domain);
    }
    auto const removed = std::erase_if(
        members.others,
        [&](auto const& entry)
        {
            bool const listed =
                std::ranges::any_of(message.instances, [&](auto const& instance)
                                    { return instance.id == entry.first; });
            return !listed && entry.second.info.state == member_state::gone;
        });
    core.protocol_state.view_stale =
        core.protocol_state.view_stale || removed > 0;
}

void handle(members_core& core, loads_changed const& message)
{
    for (auto const& load : message.loads)
        record_local_load(core.local_loads, load, now(core) - message.age);
    advertise_local_loads(core);
}

/// Replaces the demand that this router gossips. A team that is no longer
/// reported is sent once more with a rate of zero.
void handle(members_core& core, local_demand_report const& message)
{
    std::vector<compact_demand> demand;
    for (auto const& reported : message.demand)
        demand.push_back(
            {short_hash(reported.team.value), reported.rate_milli});
    auto const& reported_demand = message.demand;
    for (auto const& former : core.protocol_state.gossip.demand)
    {
        auto const same = [&](team_demand const& reported)
        { return short_hash(reported.team.value) == former.team; };
        if (former.rate_milli > 0 &&
            std::ranges::none_of(reported_demand, same))
            demand.push_back({former.team, 0});
    }
    core.protocol_state.gossip.demand = std::move(demand);
}

void handle(members_core& core, quarantine_update const& message)
{
    compact_quarantine const update{.body_fingerprint =
                                        message.body_fingerprint,
                                    .server = short_hash(message.server.value),
                                    .quarantined = message.quarantined,
                                    .ttl_ms = message.ttl_ms};
    publish(core, announce_quarantine(core.protocol_state, update, now(core)));
}

void handle(members_core& core, config_changed const& message)
{
    core.names = make_names_by_hash(*message.config);
    publish(core, adopt_config(core.protocol_state, message.config, now(core)));
}

void handle(members_core& core, drain_started const&)
{
    publish(core, start_leaving(core.protocol_state, now(core)));
}

void handle(members_core& core, link_lost const& message)
{
    publish(core, probe_member(core.protocol_state, message.router, now(core)));
}

void handle(members_core& core, status_query const& message)
{
    std::string rows;
    for (auto const& known : core.protocol_state.view
                                 ? core.protocol_state.view->members
                                 : std::vector<member>{})
        rows += fmt::format(
            R"({}{{"id":"{}","domain":"{}","state":"{}","config":{}}})",
            rows.empty() ? "" : ",", known.id.value, known.domain.value,
            to_name(known.state), known.config);
    message.reply(fmt::format(R"({{"members":[{}]}})", rows));
}

void handle(members_core& core, members_tick const&)
{
    publish(core, begin_heartbeat_round(core.protocol_state, now(core)));
    advertise_local_loads(core);
    if (now(core) - core.reported_at < report_interval)
        return;
    core.reported_at = now(core);
    send(core.metrics, counters_added{std::exchange(core.counters, {})});
}

void receive(members_state& state, kernel::context<members_message>& ctx,
             members_message message)
{
    auto& core = *state.core;
    if (std::holds_alternative<members_tick>(message))
        schedule(ctx, core.protocol_state.options.round, members_tick{});
    std::visit([&](auto const& content) { handle(core, content); }, message);
}

void stop(members_state& state, kernel::context<members_message>&)
{
    boost::system::error_code ignored;
    state.core->socket.close(ignored);
}

/// Adds a name, or its hash to `shared` if another name has the same hash.
template <class Id>
void add_name(std::unordered_map<std::uint32_t, Id>& names,
              std::vector<std::uint32_t>& shared, Id const& id)
{
    auto const hash = short_hash(id.value);
    auto const [entry, added] = names.emplace(hash, id);
    if (!added && entry->second != id)
        shared.push_back(hash);
}

} // namespace

names_by_hash make_names_by_hash(config::document const& config)
{
    names_by_hash names;
    std::vector<std::uint32_t> shared_servers;
    std::vector<std::uint32_t> shared_teams;
    for (auto const& service : config.services)
    {
        for (auto const& server : service.servers)
            add_name(names.servers, shared_servers, server.id);
    }
    for (auto const& team : config.teams)
        add_name(names.teams, shared_teams, team.id);
    for (auto const hash : shared_servers)
        names.servers.erase(hash);
    for (auto const hash : shared_teams)
        names.teams.erase(hash);
    return names;
}

void advertise_local_loads(members_core& core)
{
    auto loads = loads_to_advertise(core.local_loads);
    auto const min_interval =
        min_load_interval(core.protocol_state.members.others.size() + 1);
    auto const since = now(core) - core.advertised_at;
    bool const changed = has_significant_change(core.advertised_loads, loads);
    auto const refresh = std::max(load_refresh_interval, 2 * min_interval);
    bool const due = !loads.empty() && since >= refresh;
    if (!due && !(changed && since >= min_interval))
        return;
    core.advertised_at = now(core);
    core.advertised_loads = loads;
    set_local_loads(core.protocol_state.gossip,
                    core.protocol_state.members.self, std::move(loads),
                    now(core));
}

void members_core_deleter::operator()(members_core* core) const
{
    delete core;
}

kernel::service<members_state, members_message>
make_members_service(members_options options)
{
    return {.name = std::string{to_name(service_name::members)},
            .state = {.options = std::move(options)},
            .start = start,
            .receive = receive,
            .stop = stop,
            .loop = asio_loop<members_state>()};
}

} // namespace bramleyarch::services
