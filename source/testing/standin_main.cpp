/// The stand-in program: `bramley_standin MODE [options]`, a mode per kind
/// of outside system. Prints its ports as one JSON line when it listens.
#include "common/enum_names.hpp"
#include "testing/backend_standin.hpp"
#include "testing/fault_proxy.hpp"
#include "testing/http_server.hpp"
#include "testing/kv_standin.hpp"

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <sstream>
#include <string>
#include <vector>

namespace bramleyarch::testing
{

namespace
{

using nlohmann::json;

enum class standin_mode : std::uint8_t
{
    engine,
    plain,
    kv,
    proxy,
};

constexpr auto enum_names(standin_mode)
{
    using m = standin_mode;
    using row = enum_name<standin_mode>;
    return std::array{row{m::engine, "engine"}, row{m::plain, "plain"},
                      row{m::kv, "kv"}, row{m::proxy, "proxy"}};
}

struct standin_options
{
    standin_mode mode = standin_mode::engine;
    std::vector<std::string> names;
    std::uint16_t first_port = 0; ///< 0: any free ports.
    std::uint16_t control_port = 0;
    json model = json::object();
};

struct process
{
    asio::io_context io{1};
    run_log log;
    std::vector<standin_ptr> backends;
    kv_ptr kv;
    proxy_ptr proxy;
    listener_ptr control;
};

engine_options read_model(json const& j)
{
    engine_options o;
    auto const read_time = [&j](char const* name, auto& value)
    {
        value = std::remove_reference_t<decltype(value)>{
            j.value(name, value.count())};
    };
    o.batch = j.value("batch", o.batch);
    o.bearable = j.value("bearable", o.bearable);
    o.cold_capacity = j.value("cold_capacity", o.cold_capacity);
    o.cache_tokens = j.value("cache_tokens", o.cache_tokens);
    o.events_per_write = j.value("events_per_write", o.events_per_write);
    o.check_fencing = j.value("check_fencing", o.check_fencing);
    read_time("prefill_us_per_token", o.prefill_per_token);
    read_time("token_us", o.token_time);
    read_time("token_us_per_running", o.token_time_per_running);
    read_time("plain_ms", o.plain_time);
    read_time("restart_ms", o.restart_time);
    read_time("report_lag_ms", o.report_lag);
    read_time("cold_notice_ms", o.cold_notice);
    return o;
}

json describe(process& p)
{
    json servers = json::array();
    for (auto const& s : p.backends)
        servers.push_back(describe_backend(*s));
    if (p.kv)
        servers.push_back(describe_kv(*p.kv));
    json state{{"control", p.control->port}, {"servers", servers}};
    if (p.proxy)
        state["proxy"] = describe_proxy(*p.proxy);
    return state;
}

void apply(process& p, json const& request)
{
    std::string const name = request.value("server", "*");
    for (auto const& s : p.backends)
    {
        if (name == "*" || name == s->name)
            control_backend(s, request);
    }
    if (p.kv)
        control_kv(p.kv, request);
    if (p.proxy)
        control_proxy(p.proxy, request);
}

/// GET /control: state; POST /control: change; GET /log: runs so far.
asio::awaitable<bool> handle_control(process* p, connection_ptr c)
{
    http_response response;
    if (path_of(*c) == "/log")
    {
        response = json_response(200, to_json_lines(p->log));
        co_return co_await send_response(c, std::move(response));
    }
    if (c->request.method() == http::verb::post)
    {
        auto const request = json::parse(c->request.body(), nullptr, false);
        if (!request.is_object())
        {
            response = json_response(400, R"({"error":"not an object"})");
            co_return co_await send_response(c, std::move(response));
        }
        apply(*p, request);
    }
    response = json_response(200, describe(*p).dump());
    co_return co_await send_response(c, std::move(response));
}

void start_backends(process& p, standin_options const& options)
{
    auto const kind = options.mode == standin_mode::engine
                          ? standin_kind::engine
                          : standin_kind::plain;
    std::uint16_t port = options.first_port;
    for (auto const& name : options.names)
    {
        p.backends.push_back(start_backend(p.io, kind, name, port,
                                           read_model(options.model), p.log));
        port += options.first_port == 0 ? 0 : 1;
    }
}

std::vector<proxy_target> read_targets(standin_options const& options)
{
    std::vector<proxy_target> targets;
    for (auto const& name : options.names)
        targets.push_back({.name = name});
    return targets;
}

void run(standin_options const& options)
{
    process p;
    p.control = listen(p.io, options.control_port,
                       [&p](connection_ptr c)
                       { return handle_control(&p, std::move(c)); });
    switch (options.mode)
    {
    case standin_mode::engine:
    case standin_mode::plain:
        start_backends(p, options);
        break;
    case standin_mode::kv:
        p.kv = start_kv(p.io, options.first_port);
        break;
    case standin_mode::proxy:
        p.proxy = start_proxy(p.io, read_targets(options));
        break;
    }
    asio::signal_set signals{p.io, SIGTERM, SIGINT};
    signals.async_wait([&p](auto, int) { p.io.stop(); });
    fmt::print("{}\n", describe(p).dump());
    std::fflush(stdout);
    p.io.run();
    std::_Exit(EXIT_SUCCESS); // Open coroutines are not unwound.
}

std::vector<std::string> split(std::string const& list)
{
    std::vector<std::string> names;
    std::istringstream stream{list};
    for (std::string name; std::getline(stream, name, ',');)
        names.push_back(name);
    return names;
}

standin_options read_options(int argc, char** argv)
{
    cxxopts::Options table{"bramley_standin",
                           "Stands in for the outside systems in tests"};
    auto add = table.add_options();
    add("mode", "engine, plain, kv or proxy", cxxopts::value<std::string>());
    add("names", "Servers or targets, separated by commas",
        cxxopts::value<std::string>()->default_value("server"));
    add("port", "First port; 0: any free ports",
        cxxopts::value<std::uint16_t>()->default_value("0"));
    add("control-port", "Port of the control endpoint; 0: any free port",
        cxxopts::value<std::uint16_t>()->default_value("0"));
    add("model", "Delay and cold-start model as a JSON object",
        cxxopts::value<std::string>()->default_value("{}"));
    add("help", "Print this text");
    table.parse_positional({"mode"});
    table.positional_help("MODE");
    auto const read = table.parse(argc, argv);
    if (read.count("help") != 0 || read.count("mode") == 0)
    {
        fmt::print("{}\n", table.help());
        std::exit(read.count("help") != 0 ? 0 : 2);
    }
    auto const mode = from_name<standin_mode>(read["mode"].as<std::string>());
    if (!mode)
        throw std::runtime_error{"unknown mode; see --help"};
    return {.mode = *mode,
            .names = split(read["names"].as<std::string>()),
            .first_port = read["port"].as<std::uint16_t>(),
            .control_port = read["control-port"].as<std::uint16_t>(),
            .model = json::parse(read["model"].as<std::string>())};
}

} // namespace

} // namespace bramleyarch::testing

int main(int argc, char** argv)
{
    namespace testing = bramleyarch::testing;
    try
    {
        testing::run(testing::read_options(argc, argv));
    }
    catch (std::exception const& e)
    {
        fmt::print(stderr, "bramley_standin: {}\n", e.what());
        return 2;
    }
}
