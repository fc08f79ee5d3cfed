/// `bramleyarch`: the router, run on every entry instance.
#include "config/reference.hpp"
#include "config/settings.hpp"
#include "router/assembly.hpp"
#include "router/drain.hpp"
#include "router/store_assembly.hpp"
#include "services/messages/lifecycle.hpp"
#include "services/messages/names.hpp"

#include "platform/backend_dialect.hpp"
#include "platform/front_dialect.hpp"
#include "platform/store_codec.hpp"

#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <iostream>
#include <pthread.h>
#include <string>
#include <unistd.h>

namespace
{

using namespace bramleyarch;

constexpr int exit_good = 0;
constexpr int exit_start_failed = 1;
constexpr int exit_bad_usage = 2;
constexpr int exit_drain_limit = 3;

/// Blocks the signals that `sigwait` takes; all threads inherit the mask.
sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

void log_line(std::string const& text)
{
    fmt::print(stderr, "{}\n", text);
}

/// Name of the first port that could not be bound; empty when all are.
std::string unbound_port(router::bound_ports const& ports)
{
    if (*ports.callers == 0)
        return "listen.callers";
    if (*ports.admin == 0)
        return "listen.admin";
    if (*ports.link == 0)
        return "listen.link";
    if (*ports.heartbeat == 0)
        return "listen.heartbeat";
    return {};
}

int serve(config::settings const& settings, sigset_t const& signals)
{
    kernel::kernel k{kernel::run_mode::threaded};
    router::assembly_options options{
        .settings = settings,
        .started =
            router::make_incarnation(settings.router.id, wall_now(k.clock())),
    };
    options.request_drain = [] { ::kill(::getpid(), SIGTERM); };
    router::add_services(k, options);
    k.start();
    auto const failed = unbound_port(options.ports);
    if (!failed.empty())
    {
        log_line(fmt::format("start failed: can't listen on {} (remedy: "
                             "choose a free address and port)",
                             failed));
        return exit_start_failed;
    }
    log_line(fmt::format(
        "started router={} domain={} callers={} admin={} link={} heartbeat={}",
        settings.router.id.value, settings.router.domain.value,
        options.ports.callers->load(), options.ports.admin->load(),
        options.ports.link->load(), options.ports.heartbeat->load()));
    int received = 0;
    sigwait(&signals, &received);
    log_line("draining");
    bool const finished =
        router::drain(k, {.grace = settings.limits.drain_grace,
                          .limit = settings.limits.drain_limit});
    k.stop();
    log_line(finished ? "stopped" : "stopped with requests in flight");
    return finished ? exit_good : exit_drain_limit;
}

volatile std::sig_atomic_t stop_signals = 0;
volatile std::sig_atomic_t reload_signals = 0;

void on_signal(int number)
{
    if (number == SIGHUP)
        reload_signals = reload_signals + 1;
    else
        stop_signals = stop_signals + 1;
}

/// The signals end the loop's wait; what came is looked at once a turn.
void catch_signals()
{
    struct sigaction action
    {
    };
    action.sa_handler = on_signal;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    sigaction(SIGHUP, &action, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

/// Hands signals that came since the last call to the lifecycle service.
struct signal_relay
{
    kernel::address<services::lifecycle_message> to;
    std::sig_atomic_t stops = 0;
    std::sig_atomic_t reloads = 0;

    void operator()()
    {
        if (stop_signals != stops)
            kernel::send(to, services::stop_requested{});
        if (reload_signals != reloads)
            kernel::send(to, services::reload_requested{});
        stops = stop_signals;
        reloads = reload_signals;
    }
};

/// Serves with all tasks on one loop, rules and servers from a store.
int serve_from_store(config::settings const& settings, std::string const& file)
{
    catch_signals();
    auto loop = net::make_loop();
    if (!loop)
    {
        log_line(describe(loop.error()));
        return exit_start_failed;
    }
    kernel::kernel k{
        kernel::run_mode::one_loop,
        {.wait = [l = loop.value()](duration limit) { net::wait(*l, limit); }}};
    router::store_assembly_options const options{
        .settings = settings,
        .settings_file = file,
        .started =
            router::make_incarnation(settings.router.id, wall_now(k.clock())),
        .loop = loop.value(),
        .adapter = {.front = platform::front_dialect(),
                    .backend = platform::backend_dialect(),
                    .store = platform::store_codec()}};
    router::add_store_services(k, options);
    k.start();
    if (*options.callers_port == 0 || *options.admin_port == 0)
    {
        log_line(fmt::format("start failed: can't listen on listen.{} (remedy: "
                             "choose a free address and port)",
                             *options.callers_port == 0 ? "callers" : "admin"));
        return exit_start_failed;
    }
    fmt::print("router={} event=started domain={} callers={} admin={}\n",
               settings.router.id.value, settings.router.domain.value,
               options.callers_port->load(), options.admin_port->load());
    std::fflush(stdout);
    signal_relay relay{k.names().find<services::lifecycle_message>(
        to_name(services::service_name::lifecycle))};
    k.run(
        [&]
        {
            relay();
            return *options.ended;
        });
    k.stop();
    return exit_good;
}

int run(int argc, char** argv)
{
    cxxopts::Options usage{"bramleyarch", "Router of the fleet."};
    usage.add_options()("settings", "INI file with the process's settings",
                        cxxopts::value<std::string>())(
        "reference", "print the reference of all settings and exit")(
        "help", "print this text and exit");
    usage.parse_positional("settings");
    usage.positional_help("SETTINGS");
    auto const arguments = usage.parse(argc, argv);
    if (arguments.count("help") > 0)
    {
        std::cout << usage.help();
        return exit_good;
    }
    if (arguments.count("reference") > 0)
    {
        std::cout << config::settings_reference();
        return exit_good;
    }
    if (arguments.count("settings") == 0)
    {
        log_line("no settings (remedy: bramleyarch FILE)");
        return exit_bad_usage;
    }
    auto const file = arguments["settings"].as<std::string>();
    auto const parsed = config::read_settings(file);
    for (auto const& fault : parsed.faults)
        log_line(config::describe(fault));
    if (!parsed.faults.empty())
        return config::exit_invalid_settings;
    if (parsed.value.platform.mode == config::platform_mode::store)
        return serve_from_store(parsed.value, file);
    return serve(parsed.value, block_stop_signals());
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (cxxopts::exceptions::exception const& e)
    {
        log_line(fmt::format("{} (remedy: see --help)", e.what()));
        return exit_bad_usage;
    }
}
