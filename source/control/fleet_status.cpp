#include "control/fleet_status.hpp"

#include "common/endpoint_text.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <map>
#include <set>

namespace bramleyarch::control
{

namespace
{

using nlohmann::json;

/// Field `name`, or a default when it is missing or of another type.
template <class Value>
Value value_of(json const& from, char const* name, Value otherwise)
{
    if (!from.is_object() || !from.contains(name))
        return otherwise;
    auto const& found = from[name];
    if constexpr (std::is_same_v<Value, std::string>)
        return found.is_string() ? found.get<Value>() : otherwise;
    else if constexpr (std::is_same_v<Value, bool>)
        return found.is_boolean() ? found.get<Value>() : otherwise;
    else
        return found.is_number() ? found.get<Value>() : otherwise;
}

json part_of(json const& from, char const* name)
{
    return from.is_object() && from.contains(name) ? from[name] : json{};
}

owned_server_status read_server(json const& from)
{
    return {.server = {value_of(from, "server", std::string{})},
            .service = {value_of(from, "service", std::string{})},
            .domain = {value_of(from, "domain", std::string{})},
            .in_flight = value_of(from, "in_flight", 0U),
            .queued = value_of(from, "queued", 0U),
            .limit = value_of(from, "limit", 0U),
            .capacity = std::max(1U, value_of(from, "capacity", 1U)),
            .cold = value_of(from, "cold", false),
            .breaker = value_of(from, "breaker", std::string{})};
}

member_status read_member(json const& from)
{
    return {.id = {value_of(from, "id", std::string{})},
            .domain = {value_of(from, "domain", std::string{})},
            .state = value_of(from, "state", std::string{}),
            .config = value_of(from, "config", revision{0})};
}

std::optional<version_figures> read_figures(json const& from, char const* name)
{
    auto const figures = part_of(from, name);
    if (!figures.is_object())
        return std::nullopt;
    return version_figures{.sent = value_of(figures, "sent", std::uint64_t{0}),
                           .failed =
                               value_of(figures, "failed", std::uint64_t{0}),
                           .slow = value_of(figures, "slow", std::uint64_t{0})};
}

rollout_view read_rollout(json const& from)
{
    return {.service = {value_of(from, "service", std::string{})},
            .order = value_of(from, "order", revision{0}),
            .to_version = value_of(from, "to", std::string{}),
            .state = value_of(from, "state", std::string{}),
            .stored = value_of(from, "status_revision", revision{0}),
            .decided = value_of(from, "decided", std::string{})};
}

/// Adds the share and figures that the routing service states to the rollout of
/// the same order.
void add_figures(std::vector<rollout_view>& rollouts, json const& from)
{
    auto const routed = read_rollout(from);
    auto const found = std::find_if(rollouts.begin(), rollouts.end(),
                                    [&](rollout_view const& r) {
                                        return r.service == routed.service &&
                                               r.order == routed.order;
                                    });
    if (found == rollouts.end())
        return;
    if (from.is_object() && from.contains("share"))
        found->share = value_of(from, "share", 0.0);
    found->old_version = read_figures(from, "old");
    found->new_version = read_figures(from, "new");
}

std::vector<rollout_view> read_rollouts(json const& services)
{
    auto const store = part_of(services, "store");
    std::vector<rollout_view> rollouts;
    for (auto const& r : part_of(store, "rollouts"))
        rollouts.push_back(read_rollout(r));
    for (auto const& r : part_of(part_of(services, "routing"), "rollouts"))
        add_figures(rollouts, r);
    for (auto const& r : part_of(store, "orders_out_of_force"))
    {
        rollouts.push_back(read_rollout(r));
        rollouts.back().in_force = false;
    }
    return rollouts;
}

double relative_load(owned_server_status const& s)
{
    return static_cast<double>(s.in_flight) / static_cast<double>(s.capacity);
}

/// Mean of the relative loads of each service's servers.
std::map<service_id, double> mean_loads(fleet_status const& fleet)
{
    std::map<service_id, double> sums;
    std::map<service_id, int> counts;
    for (auto const& router : fleet.routers)
    {
        for (auto const& server : router.servers)
        {
            sums[server.service] += relative_load(server);
            ++counts[server.service];
        }
    }
    for (auto& [service, sum] : sums)
        sum /= counts[service];
    return sums;
}

std::string over_mean(owned_server_status const& server,
                      std::map<service_id, double> const& means)
{
    auto const mean = means.at(server.service);
    if (mean <= 0)
        return "-";
    return fmt::format("{:.2f}", relative_load(server) / mean);
}

std::string router_lines(fleet_status const& fleet)
{
    std::string text = fmt::format(
        "{:<16} {:>9} {:>8} {:>7} {:>12} {:>14}  {}\n", "router", "revision",
        "watcher", "owned", "quarantined", "control B/s", "state");
    for (auto const& r : fleet.routers)
    {
        auto const rate =
            r.control_bytes_per_second
                ? fmt::format("{:.0f}", *r.control_bytes_per_second)
                : std::string{"-"};
        text += fmt::format("{:<16} {:>9} {:>8} {:>7} {:>12} {:>14}  {}\n",
                            r.id.value, r.config, r.watcher ? "yes" : "no",
                            r.servers.size(), r.quarantined, rate,
                            r.draining ? "draining" : "serving");
    }
    for (auto const& s : fleet.silent)
        text += fmt::format("{:<16} did not answer: {}\n", to_text(s.admin),
                            s.cause);
    return text;
}

/// One line per router that any router knows; views that differ are shown.
std::string member_lines(fleet_status const& fleet)
{
    std::map<router_id, std::set<std::string>> states;
    for (auto const& r : fleet.routers)
    {
        for (auto const& m : r.members)
            states[m.id].insert(m.state);
    }
    std::string text = "\nmembers:";
    for (auto const& [id, seen] : states)
    {
        std::string joined;
        for (auto const& state : seen)
            joined += (joined.empty() ? "" : "/") + state;
        text += fmt::format(" {}={}", id.value, joined);
    }
    return text + '\n';
}

std::string server_lines(fleet_status const& fleet)
{
    auto const means = mean_loads(fleet);
    std::string text =
        fmt::format("\n{:<24} {:<20} {:<16} {:>9} {:>6} {:>6} {:>10}  {}\n",
                    "server", "service", "owner", "in flight", "queue", "limit",
                    "over mean", "state");
    for (auto const& r : fleet.routers)
    {
        for (auto const& s : r.servers)
            text += fmt::format(
                "{:<24} {:<20} {:<16} {:>9} {:>6} {:>6} {:>10}  {}{}\n",
                s.server.value, s.service.value, r.id.value, s.in_flight,
                s.queued, s.limit, over_mean(s, means),
                s.cold ? "cold" : "warm",
                s.breaker.empty() || s.breaker == "closed"
                    ? ""
                    : ", breaker " + s.breaker);
    }
    return text;
}

std::string figures_text(std::optional<version_figures> const& figures)
{
    return figures ? fmt::format("{}/{}/{}", figures->sent, figures->failed,
                                 figures->slow)
                   : std::string{"-"};
}

/// One line per rollout and router, or nothing if there are no rollouts.
std::string rollout_lines(fleet_status const& fleet)
{
    std::string lines;
    for (auto const& router : fleet.routers)
    {
        for (auto const& r : router.rollouts)
            lines += fmt::format(
                "{:<20} {:>9} {:<12} {:<12} {:>9} {:<12} {:<16} {:>6} {:>20} "
                "{:>20}\n",
                r.service.value, r.order, r.to_version,
                r.in_force ? r.state : "out of force", r.stored,
                r.decided.empty() ? "-" : r.decided, router.id.value,
                r.share ? fmt::format("{:.2f}", *r.share) : std::string{"-"},
                figures_text(r.old_version), figures_text(r.new_version));
    }
    if (lines.empty())
        return {};
    return fmt::format("\n{:<20} {:>9} {:<12} {:<12} {:>9} {:<12} {:<16} {:>6} "
                       "{:>20} {:>20}\n",
                       "rollout", "order", "to", "state", "revision", "decided",
                       "router", "share", "old sent/failed/slow",
                       "new sent/failed/slow") +
           lines;
}

} // namespace

std::optional<router_status> read_status(endpoint const& admin,
                                         std::string_view text)
{
    auto const page = json::parse(text, nullptr, false);
    if (!page.is_object())
        return std::nullopt;
    auto const services = part_of(page, "services");
    auto const owner = part_of(services, "owner");
    auto const configuration = part_of(services, "configuration");
    router_status status{.admin = admin};
    status.id = {value_of(page, "router", to_text(admin))};
    status.config = value_of(page, "config_version", revision{0});
    status.watcher = value_of(configuration, "watcher", false);
    status.draining = value_of(page, "draining", false);
    status.quarantined = value_of(owner, "quarantined", std::uint64_t{0});
    for (auto const& m : part_of(part_of(services, "members"), "members"))
        status.members.push_back(read_member(m));
    for (auto const& s : part_of(owner, "servers"))
    {
        if (value_of(s, "owned", true))
            status.servers.push_back(read_server(s));
    }
    status.rollouts = read_rollouts(services);
    return status;
}

std::optional<double> read_control_bytes(std::string_view metrics)
{
    std::optional<double> total;
    while (!metrics.empty())
    {
        auto const end = metrics.find('\n');
        auto const line = metrics.substr(0, end);
        metrics.remove_prefix(end == std::string_view::npos ? metrics.size()
                                                            : end + 1);
        auto const space = line.rfind(' ');
        if (line.starts_with('#') || space == std::string_view::npos ||
            line.find("control_bytes_") == std::string_view::npos)
            continue;
        auto const digits = line.substr(space + 1);
        double value = 0;
        std::from_chars(digits.data(), digits.data() + digits.size(), value);
        total = total.value_or(0) + value;
    }
    return total;
}

std::string to_screen(fleet_status const& fleet)
{
    return router_lines(fleet) + member_lines(fleet) + server_lines(fleet) +
           rollout_lines(fleet);
}

} // namespace bramleyarch::control
