#include "control/load/command.hpp"

#include "common/endpoint_text.hpp"
#include "config/document_json.hpp"
#include "control/load/oracle.hpp"
#include "control/load/report.hpp"
#include "control/load/runner.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <exception>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace bramleyarch::load
{

namespace
{

constexpr int exit_failed = 1;
constexpr int exit_bad_options = 2;

cxxopts::Options make_table()
{
    cxxopts::Options table{"bramleyctl load",
                           "Sends seeded load and reports what came back"};
    auto add = table.add_options();
    using number = std::uint32_t;
    using list = std::vector<std::string>;
    add("config", "Configuration document that the fleet runs",
        cxxopts::value<std::string>(), "FILE");
    add("router", "Callers' address of a router; repeat for each",
        cxxopts::value<list>(), "IP:PORT");
    add("admin",
        "Admin address of a router, in the order of --router; the load then "
        "goes to ready routers only",
        cxxopts::value<list>()->default_value(""), "IP:PORT");
    add("standin", "Control address of stand-ins; repeat for each",
        cxxopts::value<list>()->default_value(""), "IP:PORT");
    add("seed", "Seed of the plan",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    add("requests", "Number of requests",
        cxxopts::value<number>()->default_value("1000"));
    add("rate", "Requests per second at the start",
        cxxopts::value<double>()->default_value("200"));
    add("chats", "Chats that return",
        cxxopts::value<number>()->default_value("200"));
    add("actions", "Non-idempotent requests, percent",
        cxxopts::value<number>()->default_value("10"));
    add("reads", "Idempotent plain requests, percent",
        cxxopts::value<number>()->default_value("10"));
    add("streams", "Streamed chat requests, percent",
        cxxopts::value<number>()->default_value("80"));
    add("max-tokens", "Tokens of each answer; 0: by the body's hash",
        cxxopts::value<number>()->default_value("0"));
    add("max-sends", "Sends of one request when told not_run",
        cxxopts::value<number>()->default_value("3"));
    add("rain-at", "Demand doubles within 10 s from here, ms; 0: never",
        cxxopts::value<number>()->default_value("0"));
    add("surge", "TEAM:FACTOR:START_MS:LENGTH_MS; repeat for each",
        cxxopts::value<list>()->default_value(""));
    add("output", "Write the result as JSON",
        cxxopts::value<std::string>()->default_value(""), "FILE");
    add("baseline", "Print ratios to an earlier result",
        cxxopts::value<std::string>()->default_value(""), "FILE");
    add("help", "Print this text");
    return table;
}

std::vector<endpoint> read_endpoints(std::vector<std::string> const& texts)
{
    std::vector<endpoint> endpoints;
    for (auto const& text : texts)
    {
        if (text.empty())
            continue;
        auto const read = parse_endpoint(text);
        if (!read)
            throw std::runtime_error{"not an address: " + text};
        endpoints.push_back(*read);
    }
    return endpoints;
}

surge read_surge(std::string const& text)
{
    std::istringstream stream{text};
    surge made;
    std::int64_t start = 0;
    std::int64_t length = 0;
    char colon = 0;
    std::getline(stream, made.team, ':');
    stream >> made.factor >> colon >> start >> colon >> length;
    if (!stream)
        throw std::runtime_error{"not a surge: " + text};
    made.start = milliseconds{start};
    made.length = milliseconds{length};
    return made;
}

load_options read_options(cxxopts::ParseResult const& read)
{
    using list = std::vector<std::string>;
    using number = std::uint32_t;
    load_options o;
    o.config_file = read["config"].as<std::string>();
    o.routers = read_endpoints(read["router"].as<list>());
    o.admins = read_endpoints(read["admin"].as<list>());
    if (!o.admins.empty() && o.admins.size() != o.routers.size())
        throw std::runtime_error{"give --admin once for each --router"};
    o.controls = read_endpoints(read["standin"].as<list>());
    o.seed = read["seed"].as<std::uint64_t>();
    o.requests = read["requests"].as<number>();
    o.rate = read["rate"].as<double>();
    o.chats = read["chats"].as<number>();
    o.action_percent = read["actions"].as<number>();
    o.read_percent = read["reads"].as<number>();
    o.stream_percent = read["streams"].as<number>();
    o.max_tokens = read["max-tokens"].as<number>();
    o.max_sends = read["max-sends"].as<number>();
    o.rain_at = milliseconds{read["rain-at"].as<number>()};
    for (auto const& text : read["surge"].as<list>())
    {
        if (!text.empty())
            o.surges.push_back(read_surge(text));
    }
    o.output_file = read["output"].as<std::string>();
    o.baseline_file = read["baseline"].as<std::string>();
    return o;
}

std::string read_file(std::string const& name)
{
    std::ifstream file{name};
    if (!file)
        throw std::runtime_error{"can't read " + name};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int run(load_options const& options)
{
    auto const parsed = config::parse_document(read_file(options.config_file));
    if (!parsed.faults.empty())
        throw std::runtime_error{options.config_file +
                                 " has faults; see bramleyctl check"};
    auto output = run_load(options, parsed.value);
    if (!output)
        throw std::runtime_error{describe(output.error())};
    auto& seen = output.value();
    auto figures =
        summarise(seen.records, seen.between_chunks, parsed.value, seen.length);
    figures.skew =
        summarise(seen.samples, parsed.value.limits.load_bound_percent);
    if (!options.controls.empty())
    {
        auto judged =
            judge_by_standins(parsed.value, seen.records, options.controls);
        if (!judged)
            throw std::runtime_error{describe(judged.error())};
        figures.oracle = judged.value();
    }
    fmt::print("{}", to_table(figures));
    auto const json = to_json(figures);
    if (!options.output_file.empty())
    {
        auto whole = json;
        whole["load_samples"] = to_json(seen.samples);
        std::ofstream{options.output_file} << whole.dump(2) << '\n';
    }
    if (!options.baseline_file.empty())
        fmt::print("\n{}", compare(json, nlohmann::json::parse(read_file(
                                             options.baseline_file))));
    return 0;
}

} // namespace

int run_command(int argc, char const* const* argv)
{
    auto table = make_table();
    try
    {
        auto const read = table.parse(argc, argv);
        if (read.count("help") != 0)
        {
            fmt::print("{}\n", table.help());
            return 0;
        }
        return run(read_options(read));
    }
    catch (cxxopts::exceptions::exception const& e)
    {
        fmt::print(stderr, "bramleyctl load: {}; see --help\n", e.what());
        return exit_bad_options;
    }
    catch (std::exception const& e)
    {
        fmt::print(stderr, "bramleyctl load: {}\n", e.what());
        return exit_failed;
    }
}

} // namespace bramleyarch::load
