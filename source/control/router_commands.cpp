/// The subcommands drain, status and timeline.
#include "common/endpoint_text.hpp"
#include "common/request_id_text.hpp"
#include "control/arguments.hpp"
#include "control/commands.hpp"
#include "control/fleet_status.hpp"
#include "control/http_calls.hpp"
#include "control/subcommand.hpp"
#include "control/timeline_merge.hpp"

#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <sstream>
#include <thread>

namespace bramleyarch::control
{

namespace
{

using namespace std::chrono_literals;

constexpr int status_good = 200;
constexpr duration rate_interval = 1s;

int code(exit_code e)
{
    return static_cast<int>(e);
}

/// Calls the same page of all routers.
std::vector<result<http_answer>> fetch(std::vector<endpoint> const& admins,
                                       std::string const& target,
                                       duration limit)
{
    std::vector<http_call> calls;
    for (auto const& admin : admins)
        calls.push_back({.to = admin, .target = target});
    return run_calls(calls, limit);
}

/// Why an answer is no use; empty for a good one.
std::string fault_of(result<http_answer> const& answer)
{
    if (!answer)
        return answer.error().detail;
    if (answer.value().status != status_good)
        return fmt::format("status {}", answer.value().status);
    return {};
}

std::vector<std::optional<double>>
fetch_control_bytes(std::vector<endpoint> const& admins, duration limit)
{
    std::vector<std::optional<double>> totals;
    for (auto const& answer : fetch(admins, "/metrics", limit))
        totals.push_back(fault_of(answer).empty()
                             ? read_control_bytes(answer.value().body)
                             : std::nullopt);
    return totals;
}

void add_router(fleet_status& fleet, endpoint const& admin,
                result<http_answer> const& answer, std::optional<double> before,
                std::optional<double> after)
{
    auto fault = fault_of(answer);
    std::optional<router_status> status;
    if (fault.empty())
        status = read_status(admin, answer.value().body);
    if (!status)
    {
        if (fault.empty())
            fault = "its page can't be read";
        fleet.silent.push_back({admin, std::move(fault)});
        return;
    }
    if (before && after)
        status->control_bytes_per_second =
            (*after - *before) /
            std::chrono::duration<double>{rate_interval}.count();
    fleet.routers.push_back(std::move(*status));
}

/// Reads the filter; prints what is wrong.
std::optional<timeline_filter> read_filter(cxxopts::ParseResult const& given)
{
    timeline_filter filter;
    if (given.count("request"))
    {
        auto const id = parse_request_id(given["request"].as<std::string>());
        if (!id)
        {
            fmt::print(stderr, "{}\n", describe(id.error()));
            return std::nullopt;
        }
        filter.request = id.value();
    }
    if (given.count("server"))
        filter.server = server_id{given["server"].as<std::string>()};
    if (given.count("team"))
        filter.team = team_id{given["team"].as<std::string>()};
    std::istringstream kinds{
        given.count("kind") ? given["kind"].as<std::string>() : ""};
    for (std::string name; std::getline(kinds, name, ',');)
    {
        auto const kind = from_name<event_kind>(name);
        if (!kind)
        {
            fmt::print(stderr,
                       "no kind of event \"{}\" (remedy: see the "
                       "list in --help)\n",
                       name);
            return std::nullopt;
        }
        filter.kinds.push_back(*kind);
    }
    filter.from_ms = given["from-ms"].as<std::uint64_t>();
    filter.to_ms = given["to-ms"].as<std::uint64_t>();
    return filter;
}

std::string kinds_text()
{
    std::string text;
    for (auto const& row : enum_names(event_kind{}))
        text += (text.empty() ? "" : ", ") + std::string{row.name};
    return text;
}

void add_filter_options(cxxopts::Options& options)
{
    auto const text = [] { return cxxopts::value<std::string>(); };
    auto const number = [](char const* otherwise)
    { return cxxopts::value<std::uint64_t>()->default_value(otherwise); };
    options.add_options()("request", "Only this request", text(),
                          "ID")("server", "Only this backend server", text(),
                                "ID")("team", "Only this team", text(), "ID")(
        "kind", "Only these kinds: " + kinds_text(), text(),
        "KIND,...")("from-ms", "Not before this Unix time", number("0"), "MS")(
        "to-ms", "Not after this Unix time", number("18446744073709551615"),
        "MS")("json", "Print JSON");
}

void print_events(std::vector<fleet_event> const& events, bool as_json)
{
    if (as_json)
    {
        std::puts(to_json(events).c_str());
        return;
    }
    for (auto const& e : events)
        std::puts(to_line(e).c_str());
}

} // namespace

int drain_router(int argc, char const* const* argv)
{
    auto options = make_options("drain");
    add_admin_options(options);
    auto const given = options.parse(argc, argv);
    if (print_help(options, given))
        return 0;
    auto const admins = admins_of(given);
    if (admins.size() != 1)
    {
        fmt::print(stderr, "drain stops one router at a time (remedy: "
                           "--admin IP:PORT)\n");
        return code(exit_code::bad_input);
    }
    auto const answers =
        run_calls({{.to = admins[0], .method = "POST", .target = "/drain"}},
                  timeout_of(given));
    auto const& answer = answers.front();
    bool const started =
        answer && answer.value().status >= 200 && answer.value().status < 300;
    if (!started)
    {
        fmt::print(stderr, "{}: {}\n", to_text(admins[0]), fault_of(answer));
        return code(exit_code::failed);
    }
    fmt::print("{}: draining\n", to_text(admins[0]));
    return code(exit_code::good);
}

int show_status(int argc, char const* const* argv)
{
    auto options = make_options("status");
    add_admin_options(options);
    auto const given = options.parse(argc, argv);
    if (print_help(options, given))
        return 0;
    auto const admins = admins_of(given);
    if (admins.empty())
        return code(exit_code::bad_input);
    auto const limit = timeout_of(given);
    auto const before = fetch_control_bytes(admins, limit);
    std::this_thread::sleep_for(rate_interval);
    auto const after = fetch_control_bytes(admins, limit);
    auto const pages = fetch(admins, "/status", limit);
    fleet_status fleet;
    for (std::size_t i = 0; i < admins.size(); ++i)
        add_router(fleet, admins[i], pages[i], before[i], after[i]);
    std::fputs(to_screen(fleet).c_str(), stdout);
    return code(fleet.silent.empty() ? exit_code::good : exit_code::incomplete);
}

int show_timeline(int argc, char const* const* argv)
{
    auto options = make_options("timeline");
    add_admin_options(options);
    add_filter_options(options);
    auto const given = options.parse(argc, argv);
    if (print_help(options, given))
        return 0;
    auto const admins = admins_of(given);
    auto const filter = read_filter(given);
    if (admins.empty() || !filter)
        return code(exit_code::bad_input);
    auto const pages = fetch(admins, "/timeline", timeout_of(given));
    std::vector<services::router_timeline> lines;
    for (std::size_t i = 0; i < admins.size(); ++i)
    {
        auto fault = fault_of(pages[i]);
        if (fault.empty())
        {
            auto line = services::timeline_from_json(pages[i].value().body);
            if (line)
                lines.push_back(std::move(line).value());
            else
                fault = describe(line.error());
        }
        if (!fault.empty())
            fmt::print(stderr, "{} did not answer: {}\n", to_text(admins[i]),
                       fault);
    }
    for (auto const& line : lines)
    {
        if (line.dropped != 0)
            fmt::print(stderr, "{} has dropped {} older events\n",
                       line.router.value, line.dropped);
    }
    print_events(select(*filter, merge(lines)), given.count("json") != 0);
    return code(lines.size() == admins.size() ? exit_code::good
                                              : exit_code::incomplete);
}

} // namespace bramleyarch::control
