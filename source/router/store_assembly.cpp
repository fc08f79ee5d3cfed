#include "router/store_assembly.hpp"

#include "common/digest.hpp"
#include "decisions/memory_budget.hpp"
#include "services/admin/admin_service.hpp"
#include "services/backend/backend_service.hpp"
#include "services/entry/entry_service.hpp"
#include "services/lifecycle/lifecycle_service.hpp"
#include "services/log/log_service.hpp"
#include "services/messages/names.hpp"
#include "services/metrics/metrics_service.hpp"
#include "services/peers/peers_service.hpp"
#include "services/store/store_service.hpp"
#include "services/timeline/timeline_service.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/sysinfo.h>

namespace bramleyarch::router
{

namespace
{

using namespace services;

/// Room of the time line on a small instance.
constexpr std::uint32_t timeline_events = 1000;

/// Many times the way to a server of the region and back; what is not
/// connected by then goes elsewhere, since nothing was sent.
constexpr duration connect_limit = std::chrono::milliseconds{400};

/// Changes with the file's time and size; empty when it can't be read.
std::string file_stamp(std::string const& file)
{
    struct stat info
    {
    };
    if (::stat(file.c_str(), &info) != 0)
        return {};
    return fmt::format("{}.{}.{}.{}", info.st_mtim.tv_sec, info.st_mtim.tv_nsec,
                       info.st_size, info.st_ino);
}

/// Memory that the process may hold for its callers.
decisions::memory_budget memory_of(config::limit_settings const& limits)
{
    decisions::memory_sources sources{
        .setting = static_cast<std::size_t>(limits.memory_mb) << 20U};
    struct sysinfo machine
    {
    };
    if (::sysinfo(&machine) == 0)
        sources.machine = machine.totalram * machine.mem_unit;
    rlimit space{};
    if (::getrlimit(RLIMIT_AS, &space) == 0 && space.rlim_cur != RLIM_INFINITY)
        sources.address_space = space.rlim_cur;
    return decisions::derive_memory_budget(sources, limits.max_connections);
}

entry_options entry_of(store_assembly_options const& options)
{
    auto const& settings = options.settings;
    entry_options entry{.self = settings.router.id,
                        .domain = settings.router.domain,
                        .seed = options.started,
                        .dialect = options.adapter.backend,
                        .answer_credit =
                            memory_of(settings.limits).answer_credit};
    apply_shared_limits(entry, settings.shared);
    return entry;
}

/// A part of the tightest limit on changes of the store; the rest is for a call
/// that fails and for the way of the change to the requests.
duration watch_pause_of(config::shared_limit_settings const& limits)
{
    constexpr int pauses_per_limit = 4;
    return std::min(limits.leaving_limit, limits.rules_limit) /
           pauses_per_limit;
}

/// Attempts' events go to the service that sent them.
std::function<void(attempt_event)> events_to_entry(kernel::kernel& k)
{
    return [&names = k.names(), to = kernel::address<routing_message>{}](
               attempt_event event) mutable
    {
        if (!to)
            to = names.find<routing_message>(to_name(service_name::routing));
        send(to, std::move(event));
    };
}

} // namespace

void add_store_services(kernel::kernel& k,
                        store_assembly_options const& options)
{
    auto const& settings = options.settings;
    k.add(make_log_service(
        {.router = settings.router.id, .least = settings.level}));
    k.add(make_metrics_service(
        {.router = settings.router.id, .domain = settings.router.domain}));
    k.add(make_timeline_service({.router = settings.router.id,
                                 .domain = settings.router.domain,
                                 .max_events = timeline_events}));
    k.add(make_backend_service(
        {.loop = options.loop,
         .max_connections = settings.limits.max_connections,
         .connect_limit = connect_limit,
         .on_event = events_to_entry(k)}));
    k.add(make_entry_service(entry_of(options)));
    k.add(make_peers_service({.loop = options.loop,
                              .self = settings.router.id,
                              .domain = settings.router.domain,
                              .started = options.started,
                              .listen = settings.listen.heartbeat,
                              .seed = options.started}));
    k.add(make_front_service(
        {.loop = options.loop,
         .dialect = options.adapter.front,
         .listen = settings.listen.callers,
         .started = options.started,
         .max_connections = settings.limits.max_connections,
         .max_head_bytes = settings.limits.max_header_bytes,
         .head_limit = settings.limits.header_timeout,
         .body_limit = settings.limits.body_timeout,
         .memory = memory_of(settings.limits),
         .stalled_after = settings.limits.stalled_after,
         .min_progress_bytes = settings.limits.min_progress_bytes,
         .bound_port = options.callers_port}));
    k.add(make_admin_service({.loop = options.loop,
                              .listen = settings.listen.admin,
                              .router = settings.router.id,
                              .bound_port = options.admin_port}));
    k.add(
        make_lifecycle_service({.read_settings = [file = options.settings_file]
                                { return config::read_settings(file); },
                                .settings_stamp = [file = options.settings_file]
                                { return file_stamp(file); },
                                .limits = settings.shared,
                                .ended = options.ended}));
    // Last, so that all others are there when the first records arrive.
    k.add(make_store_service(
        {.loop = options.loop,
         .address = settings.platform.address,
         .codec = options.adapter.store,
         .self = {settings.router.id, settings.listen.advertised_heartbeat,
                  settings.router.domain},
         .seed = options.started,
         .watch_pause = watch_pause_of(settings.shared)}));
}

} // namespace bramleyarch::router
