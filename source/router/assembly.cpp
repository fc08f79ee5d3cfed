#include "router/assembly.hpp"

#include "common/digest.hpp"
#include "services/admin/admin_service.hpp"
#include "services/backend/backend_service.hpp"
#include "services/claims/claims_service.hpp"
#include "services/configuration/configuration_service.hpp"
#include "services/embedded_platform/embedded_platform_service.hpp"
#include "services/front/front_service.hpp"
#include "services/link/link_service.hpp"
#include "services/members/members_service.hpp"
#include "services/metrics/metrics_service.hpp"
#include "services/owner/owner_service.hpp"
#include "services/platform/platform_service.hpp"
#include "services/routing/routing_service.hpp"
#include "services/timeline/timeline_service.hpp"

namespace bramleyarch::router
{

namespace
{

using namespace services;

bool is_embedded(config::settings const& settings)
{
    return settings.platform.mode == config::platform_mode::embedded;
}

void add_records(kernel::kernel& k, config::settings const& settings)
{
    k.add(make_metrics_service(
        {.router = settings.router.id, .domain = settings.router.domain}));
    k.add(
        make_timeline_service({.router = settings.router.id,
                               .domain = settings.router.domain,
                               .max_events = settings.limits.timeline_events}));
}

/// What the platform's list says of this router.
etcd::instance_record listed_self(config::settings const& settings,
                                  bound_ports const& ports)
{
    auto const with_port = [](endpoint address, shared_port const& port)
    {
        if (address.port == 0)
            address.port = port->load();
        return address;
    };
    auto const& listen = settings.listen;
    return {.id = settings.router.id,
            .domain = settings.router.domain,
            .heartbeat =
                with_port(listen.advertised_heartbeat, ports.heartbeat),
            .link = with_port(listen.advertised_link, ports.link),
            .admin = with_port(listen.admin, ports.admin)};
}

platform_options platform_of(assembly_options const& options)
{
    auto const& settings = options.settings;
    platform_options made;
    made.calls.address = settings.platform.address;
    made.calls.calls_per_second = settings.platform.calls_per_second;
    made.calls.max_in_flight = settings.platform.max_calls_in_flight;
    made.instances.prefix = settings.platform.instance_prefix;
    made.instances.ttl = settings.platform.instance_ttl;
    made.instances.call_timeout = settings.platform.timeout;
    made.instances.self = [settings, ports = options.ports]
    { return listed_self(settings, ports); };
    return made;
}

/// Claims need a key-value service that all routers share: an embedded one
/// serves only a router without peers.
void add_platform(kernel::kernel& k, assembly_options const& options)
{
    auto const& settings = options.settings;
    claims_options claims;
    if (is_embedded(settings))
    {
        if (!settings.fleet.peers.empty())
            return;
        k.add(make_embedded_platform_service({}));
        claims.earliest_key = wall_now(k.clock());
    }
    else
    {
        k.add(make_platform_service(platform_of(options)));
        claims.call_timeout = settings.platform.timeout;
    }
    k.add(make_claims_service(claims));
}

void add_fleet(kernel::kernel& k, assembly_options const& options)
{
    auto const& settings = options.settings;
    k.add(make_link_service({.self = settings.router.id,
                             .started = options.started,
                             .listen = settings.listen.link,
                             .bound_port = options.ports.link}));
    member const self{.id = settings.router.id,
                      .domain = settings.router.domain,
                      .started = options.started,
                      .link = settings.listen.advertised_link,
                      .heartbeat = settings.listen.advertised_heartbeat,
                      .admin = settings.listen.admin};
    members_options members{.self = self,
                            .listen = settings.listen.heartbeat,
                            .bound_port = options.ports.heartbeat,
                            .link_port = options.ports.link,
                            .admin_port = options.ports.admin};
    members.protocol.seeds = settings.fleet.peers;
    members.protocol.awaits_list = !is_embedded(settings);
    members.protocol.round = settings.fleet.heartbeat_interval;
    members.protocol.membership.suspect_after = settings.fleet.suspect_after;
    members.protocol.membership.gone_after = settings.fleet.gone_after;
    k.add(make_members_service(std::move(members)));
}

void add_serving(kernel::kernel& k, config::settings const& settings,
                 incarnation started)
{
    k.add(make_backend_service(
        {.max_connections = settings.limits.max_connections}));
    k.add(make_owner_service({.self = settings.router.id,
                              .seed = started,
                              .silence_limit = settings.limits.silence_limit}));
    k.add(make_routing_service({.self = settings.router.id,
                                .seed = started,
                                .policy = settings.routing.policy}));
}

void add_http(kernel::kernel& k, assembly_options const& options)
{
    auto const& settings = options.settings;
    k.add(
        make_front_service({.listen = settings.listen.callers,
                            .started = options.started,
                            .max_connections = settings.limits.max_connections,
                            .max_head_bytes = settings.limits.max_header_bytes,
                            .head_limit = settings.limits.header_timeout,
                            .body_limit = settings.limits.body_timeout,
                            .bound_port = options.ports.callers}));
    k.add(make_admin_service({.listen = settings.listen.admin,
                              .router = settings.router.id,
                              .start_drain = options.request_drain,
                              .bound_port = options.ports.admin}));
}

} // namespace

void add_services(kernel::kernel& k, assembly_options const& options)
{
    auto const& settings = options.settings;
    add_records(k, settings);
    add_platform(k, options);
    add_fleet(k, options);
    add_serving(k, settings, options.started);
    add_http(k, options);
    // Last, so that all others are there when the first document arrives.
    k.add(make_configuration_service(
        {.self = settings.router.id,
         .domain = settings.router.domain,
         .mode = settings.platform.mode,
         .config_file = settings.platform.config_file,
         .document_key = settings.platform.document_key,
         .call_timeout = settings.platform.timeout}));
}

incarnation make_incarnation(router_id const& id, wall_time at)
{
    constexpr incarnation id_bits = 12;
    constexpr incarnation id_mask = (1U << id_bits) - 1;
    auto const us = std::chrono::duration_cast<std::chrono::microseconds>(
                        at.time_since_epoch())
                        .count();
    return static_cast<incarnation>(us) << id_bits |
           (name_hash(id.value) & id_mask);
}

} // namespace bramleyarch::router
