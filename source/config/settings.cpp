#include "config/settings.hpp"

#include "common/endpoint_text.hpp"
#include "config/ini_lines.hpp"
#include "config/settings_table.hpp"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <fmt/format.h>

#include <chrono>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>

namespace bramleyarch::config
{

namespace
{

using boost::property_tree::ptree;
using section = setting_section;

constexpr std::size_t max_settings_bytes = 65'536;

/// What the steps of reading a file work on.
struct reading
{
    std::string const& file;
    ini_lines lines;
    ptree tree;
    std::vector<fault> faults;
};

/// `file:line` of a key; the file alone when the key is not there.
std::string position_of(reading const& r, setting_row const& row)
{
    auto const found = r.lines.line_of.find(
        {std::string{to_name(row.section)}, std::string{row.key}});
    if (found == r.lines.line_of.end())
        return r.file;
    return fmt::format("{}:{}", r.file, found->second);
}

std::string full_name(setting_row const& row)
{
    return fmt::format("[{}] {}", to_name(row.section), row.key);
}

/// Value in the file, if the key stands there. Limits that hold for all routers
/// come from a template: those that are not stated are left empty.
std::optional<std::string> value_in_file(reading const& r,
                                         setting_row const& row)
{
    auto const part = r.tree.find(std::string{to_name(row.section)});
    if (part == r.tree.not_found())
        return std::nullopt;
    auto const value = part->second.find(std::string{row.key});
    if (value == part->second.not_found())
        return std::nullopt;
    auto const& text = value->second.data();
    bool const from_template =
        row.section == section::shared || row.key == "memory_mb";
    if (text.empty() && from_template)
        return std::nullopt;
    return text;
}

void parse_tree(reading& r)
{
    std::istringstream text{r.lines.accepted};
    try
    {
        boost::property_tree::read_ini(text, r.tree);
    }
    catch (boost::property_tree::ini_parser_error const& e)
    {
        r.faults.push_back({r.file, "is not INI: " + e.message(),
                            "write `[section]` and `key = value` lines"});
    }
}

void check_unknown_keys(reading& r)
{
    for (auto const& [name, line] : r.lines.line_of)
    {
        if (find_setting(name.section, name.key))
            continue;
        r.faults.push_back(
            {fmt::format("{}:{}", r.file, line),
             fmt::format("[{}] has no key \"{}\"", name.section, name.key),
             "remove it or correct its name"});
    }
}

void check_values(reading& r)
{
    for (auto const& row : setting_rows())
    {
        auto const value = value_in_file(r, row);
        if (!value && row.required)
            r.faults.push_back({position_of(r, row),
                                full_name(row) + " is missing",
                                remedy_of(row)});
        if (value && !is_valid(row, *value))
            r.faults.push_back(
                {position_of(r, row),
                 fmt::format("{} is not valid: \"{}\"", full_name(row), *value),
                 remedy_of(row)});
    }
}

/// Value of a checked key: from the file, or the default.
std::string text_of(reading const& r, section where, std::string_view key)
{
    auto const& row = *find_setting(to_name(where), key);
    return value_in_file(r, row).value_or(std::string{row.default_text});
}

std::uint32_t number_of(reading const& r, section where, std::string_view key)
{
    return static_cast<std::uint32_t>(std::stoul(text_of(r, where, key)));
}

double decimal_of(reading const& r, section where, std::string_view key)
{
    return std::stod(text_of(r, where, key));
}

duration time_of(reading const& r, section where, std::string_view key)
{
    return std::chrono::milliseconds{number_of(r, where, key)};
}

endpoint endpoint_of(reading const& r, section where, std::string_view key)
{
    return parse_endpoint(text_of(r, where, key)).value_or(endpoint{});
}

std::vector<endpoint> endpoints_of(std::string const& text)
{
    std::vector<endpoint> endpoints;
    std::istringstream items{text};
    for (std::string item; std::getline(items, item, ',');)
    {
        std::erase(item, ' ');
        if (auto const parsed = parse_endpoint(item))
            endpoints.push_back(*parsed);
    }
    return endpoints;
}

platform_settings platform_of(reading const& r)
{
    auto const text = [&](auto key)
    { return text_of(r, section::platform, key); };
    auto const number = [&](auto key)
    { return number_of(r, section::platform, key); };
    return {.mode = from_name<platform_mode>(text("mode"))
                        .value_or(platform_mode::embedded),
            .address = endpoint_of(r, section::platform, "endpoint"),
            .timeout = time_of(r, section::platform, "timeout_ms"),
            .document_key = text("document_key"),
            .instance_prefix = text("instance_prefix"),
            .instance_ttl = time_of(r, section::platform, "instance_ttl_ms"),
            .calls_per_second = number("calls_per_second"),
            .max_calls_in_flight = number("max_calls_in_flight"),
            .config_file = text("config_file")};
}

limit_settings limits_of(reading const& r)
{
    auto const number = [&](auto key)
    { return number_of(r, section::limits, key); };
    auto const time = [&](auto key)
    { return time_of(r, section::limits, key); };
    return {.max_connections = number("max_connections"),
            .max_header_bytes = number("max_header_bytes"),
            .header_timeout = time("header_timeout_ms"),
            .body_timeout = time("body_timeout_ms"),
            .silence_limit = time("silence_limit_ms"),
            .drain_grace = time("drain_grace_ms"),
            .drain_limit = time("drain_limit_ms"),
            .timeline_events = number("timeline_events"),
            .memory_mb = number("memory_mb"),
            .stalled_after = time("stalled_after_ms"),
            .min_progress_bytes = number("min_progress_bytes")};
}

listen_settings listen_of(reading const& r)
{
    auto const read = [&](auto key)
    { return endpoint_of(r, section::listen, key); };
    listen_settings listen{.callers = read("callers"),
                           .admin = read("admin"),
                           .link = read("link"),
                           .heartbeat = read("heartbeat"),
                           .advertised_link = read("advertised_link"),
                           .advertised_heartbeat =
                               read("advertised_heartbeat")};
    if (listen.advertised_link.port == 0)
        listen.advertised_link = listen.link;
    if (listen.advertised_heartbeat.port == 0)
        listen.advertised_heartbeat = listen.heartbeat;
    return listen;
}

shared_limit_settings shared_of(reading const& r)
{
    auto const decimal = [&](auto key)
    { return decimal_of(r, section::shared, key); };
    auto const seconds = [&](auto key)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>{decimal(key)});
    };
    auto const milliseconds = [&](auto key)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>{decimal(key)});
    };
    return {.retry_ratio = decimal("retry_ratio"),
            .retry_slack = decimal("retry_slack"),
            .retry_window = seconds("retry_window_s"),
            .cold_overage = decimal("cold_overage"),
            .cold_slack = decimal("cold_slack"),
            .stop_limit = seconds("stop_limit_s"),
            .load_factor = decimal("load_factor"),
            .leaving_limit = milliseconds("leaving_limit_ms"),
            .rules_limit = milliseconds("rules_limit_ms"),
            .exposure_share = decimal("exposure_share"),
            .exposure_slack = decimal("exposure_slack"),
            .rollback_limit = milliseconds("rollback_ms"),
            .server_priorities =
                from_name<server_priority_mode>(
                    text_of(r, section::shared, "server_priorities"))
                    .value_or(server_priority_mode::off),
            .waiting =
                from_name<waiting_mode>(text_of(r, section::shared, "waiting"))
                    .value_or(waiting_mode::off)};
}

settings settings_of(reading const& r)
{
    auto const fleet = [&](auto key)
    { return time_of(r, section::fleet, key); };
    return {
        .router = {.id = {text_of(r, section::router, "id")},
                   .domain = {text_of(r, section::router, "domain")},
                   .region = {text_of(r, section::router, "region")}},
        .listen = listen_of(r),
        .fleet = {.peers = endpoints_of(text_of(r, section::fleet, "peers")),
                  .heartbeat_interval = fleet("heartbeat_interval_ms"),
                  .suspect_after = fleet("suspect_after_ms"),
                  .gone_after = fleet("gone_after_ms")},
        .platform = platform_of(r),
        .limits = limits_of(r),
        .routing = {.policy =
                        from_name<ranking_policy>(
                            text_of(r, section::routing, "policy"))
                            .value_or(ranking_policy::bounded_rendezvous)},
        .shared = shared_of(r),
        .level = from_name<log_level>(text_of(r, section::log, "level"))
                     .value_or(log_level::info)};
}

void check_relation(reading& r, bool holds, section where, std::string_view key,
                    std::string_view problem, std::string_view remedy)
{
    if (holds)
        return;
    auto const& row = *find_setting(to_name(where), key);
    r.faults.push_back({position_of(r, row),
                        full_name(row) + ' ' + std::string{problem},
                        std::string{remedy}});
}

void check_relations(reading& r, settings const& s)
{
    check_relation(r, s.fleet.suspect_after >= 2 * s.fleet.heartbeat_interval,
                   section::fleet, "suspect_after_ms",
                   "is below two heartbeat intervals",
                   "use at least twice heartbeat_interval_ms");
    check_relation(r, s.fleet.gone_after > s.fleet.suspect_after,
                   section::fleet, "gone_after_ms",
                   "is not above suspect_after_ms",
                   "use a value above suspect_after_ms");
    check_relation(r,
                   s.platform.mode == platform_mode::embedded ||
                       s.platform.address.port != 0,
                   section::platform, "endpoint",
                   "is not set and mode is not embedded",
                   "name the platform's service, or set mode to embedded");
    check_relation(r,
                   s.platform.mode != platform_mode::embedded ||
                       !s.platform.config_file.empty(),
                   section::platform, "config_file",
                   "is not set and mode is embedded",
                   "name a configuration document, or set mode to etcd");
}

} // namespace

parsed_settings parse_settings(std::string_view text, std::string const& file)
{
    if (text.size() > max_settings_bytes)
        return {.faults = {{file, fmt::format("has {} bytes", text.size()),
                            fmt::format("shorten it to {} bytes",
                                        max_settings_bytes)}}};
    reading r{.file = file, .lines = index_lines(text, file)};
    r.faults = r.lines.faults;
    parse_tree(r);
    check_unknown_keys(r);
    check_values(r);
    if (!r.faults.empty())
        return {.faults = std::move(r.faults)};
    auto value = settings_of(r);
    check_relations(r, value);
    return {.value = std::move(value), .faults = std::move(r.faults)};
}

parsed_settings read_settings(std::string const& file)
{
    std::ifstream stream{file, std::ios::binary};
    if (!stream)
        return {.faults = {{file, "can't be read",
                            "name a settings file that this user may read"}}};
    std::string const text{std::istreambuf_iterator<char>{stream}, {}};
    return parse_settings(text, file);
}

} // namespace bramleyarch::config
