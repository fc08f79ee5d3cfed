#include "config/settings_table.hpp"

#include "common/endpoint_text.hpp"
#include "common/ranking_policy.hpp"
#include "config/enum_choices.hpp"
#include "config/settings.hpp"
#include "config/value_forms.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <charconv>

namespace bramleyarch::config
{

namespace
{

using s = setting_section;
using t = setting_type;

constexpr std::size_t max_key_bytes = 200;
constexpr std::size_t max_file_bytes = 4096;
constexpr std::size_t max_peers = 64;

constexpr std::array rows{
    setting_row{.section = s::router,
                .key = "id",
                .type = t::identifier,
                .required = true,
                .text = "Name of this router, unique in the fleet."},
    setting_row{.section = s::router,
                .key = "domain",
                .type = t::identifier,
                .required = true,
                .text = "Failure domain that it runs in."},
    setting_row{.section = s::router,
                .key = "region",
                .type = t::identifier,
                .required = true,
                .text = "Region of the failure domain."},
    setting_row{.section = s::listen,
                .key = "callers",
                .type = t::listen_address,
                .default_text = "0.0.0.0:8080",
                .text = "HTTP for callers; port 0: any free port."},
    setting_row{.section = s::listen,
                .key = "admin",
                .type = t::own_address,
                .required = true,
                .text = "HTTP for operators: health, metrics, status."},
    setting_row{.section = s::listen,
                .key = "link",
                .type = t::own_address,
                .required = true,
                .text = "TCP for other routers."},
    setting_row{.section = s::listen,
                .key = "heartbeat",
                .type = t::own_address,
                .required = true,
                .text = "UDP for other routers' heartbeats."},
    setting_row{.section = s::listen,
                .key = "advertised_link",
                .type = t::address,
                .text = "Address of `link` as other routers reach it; empty: "
                        "as it listens."},
    setting_row{.section = s::listen,
                .key = "advertised_heartbeat",
                .type = t::address,
                .text = "Address of `heartbeat` as other routers reach it; "
                        "empty: as it listens."},
    setting_row{.section = s::fleet,
                .key = "peers",
                .type = t::address_list,
                .text = "Heartbeat addresses of routers to ask first, "
                        "separated by commas."},
    setting_row{.section = s::fleet,
                .key = "heartbeat_interval_ms",
                .type = t::integer,
                .unit = "ms",
                .min = 50,
                .max = 10'000,
                .default_text = "500",
                .text = "Time between heartbeats."},
    setting_row{.section = s::fleet,
                .key = "suspect_after_ms",
                .type = t::integer,
                .unit = "ms",
                .min = 100,
                .max = 60'000,
                .default_text = "2000",
                .text = "Silence after which a router is suspect."},
    setting_row{.section = s::fleet,
                .key = "gone_after_ms",
                .type = t::integer,
                .unit = "ms",
                .min = 200,
                .max = 600'000,
                .default_text = "5000",
                .text = "Silence after which a router is gone."},
    setting_row{.section = s::platform,
                .key = "mode",
                .type = t::choice,
                .default_text = "embedded",
                .text = "`embedded`: configuration from a file; `etcd`: from "
                        "the platform's service; `store`: rules and servers "
                        "from the store of the users' platform.",
                .choices = names_of<platform_mode>},
    setting_row{.section = s::platform,
                .key = "endpoint",
                .type = t::address,
                .text = "The platform's service; needed for `etcd` and "
                        "`store`."},
    setting_row{.section = s::platform,
                .key = "timeout_ms",
                .type = t::integer,
                .unit = "ms",
                .min = 10,
                .max = 60'000,
                .default_text = "1000",
                .text = "Longest wait for an answer of the service."},
    setting_row{.section = s::platform,
                .key = "document_key",
                .type = t::key,
                .default_text = "bramleyarch/config",
                .text = "Key of the configuration document."},
    setting_row{.section = s::platform,
                .key = "instance_prefix",
                .type = t::key,
                .default_text = "bramleyarch/instances/",
                .text = "Prefix of the keys of the list of routers."},
    setting_row{.section = s::platform,
                .key = "instance_ttl_ms",
                .type = t::integer,
                .unit = "ms",
                .min = 2'000,
                .max = 600'000,
                .default_text = "15000",
                .text = "Time that this router stays listed without a sign "
                        "of life."},
    setting_row{.section = s::platform,
                .key = "calls_per_second",
                .type = t::integer,
                .unit = "calls/s",
                .min = 1,
                .max = 10'000,
                .default_text = "50",
                .text = "Most calls of this router to the service."},
    setting_row{.section = s::platform,
                .key = "max_calls_in_flight",
                .type = t::integer,
                .unit = "calls",
                .min = 1,
                .max = 1'000,
                .default_text = "32",
                .text = "Most calls that wait for an answer at once."},
    setting_row{.section = s::platform,
                .key = "config_file",
                .type = t::file,
                .text = "Configuration document; needed for `embedded`."},
    setting_row{.section = s::limits,
                .key = "max_connections",
                .type = t::integer,
                .unit = "connections",
                .min = 1,
                .max = 100'000,
                .default_text = "4096",
                .text = "Open connections of callers."},
    setting_row{.section = s::limits,
                .key = "max_header_bytes",
                .type = t::integer,
                .unit = "bytes",
                .min = 1'024,
                .max = 65'536,
                .default_text = "16384",
                .text = "Size of a request's header."},
    setting_row{.section = s::limits,
                .key = "header_timeout_ms",
                .type = t::integer,
                .unit = "ms",
                .min = 100,
                .max = 600'000,
                .default_text = "10000",
                .text = "Time for a caller to send a request's header."},
    setting_row{.section = s::limits,
                .key = "body_timeout_ms",
                .type = t::integer,
                .unit = "ms",
                .min = 100,
                .max = 600'000,
                .default_text = "30000",
                .text = "Time for a caller to send a request's body."},
    setting_row{.section = s::limits,
                .key = "silence_limit_ms",
                .type = t::integer,
                .unit = "ms",
                .min = 100,
                .max = 600'000,
                .default_text = "15000",
                .text = "Longest gap between bytes of a backend server's "
                        "answer."},
    setting_row{.section = s::limits,
                .key = "drain_grace_ms",
                .type = t::integer,
                .unit = "ms",
                .min = 0,
                .max = 600'000,
                .default_text = "2000",
                .text = "Time between leaving the fleet and refusing new "
                        "requests in a planned stop."},
    setting_row{.section = s::limits,
                .key = "drain_limit_ms",
                .type = t::integer,
                .unit = "ms",
                .min = 0,
                .max = 3'600'000,
                .default_text = "120000",
                .text = "Longest time that a planned stop waits for requests "
                        "in flight."},
    setting_row{.section = s::limits,
                .key = "timeline_events",
                .type = t::integer,
                .unit = "events",
                .min = 100,
                .max = 1'000'000,
                .default_text = "20000",
                .text = "Events that the time line keeps."},
    setting_row{.section = s::limits,
                .key = "memory_mb",
                .type = t::integer,
                .unit = "MiB",
                .min = 0,
                .max = 1'048'576,
                .default_text = "0",
                .text = "Memory that the process may use; 0 or empty: from "
                        "the machine and the process's limits."},
    setting_row{.section = s::limits,
                .key = "stalled_after_ms",
                .type = t::integer,
                .unit = "ms",
                .min = 100,
                .max = 600'000,
                .default_text = "2000",
                .text = "Time without progress after which a caller may be "
                        "closed while memory or connections are short."},
    setting_row{.section = s::limits,
                .key = "min_progress_bytes",
                .type = t::integer,
                .unit = "bytes",
                .min = 1,
                .max = 1'048'576,
                .default_text = "1024",
                .text = "Bytes of a body sent or an answer read that count as "
                        "progress within `stalled_after_ms`."},
    setting_row{.section = s::routing,
                .key = "policy",
                .type = t::choice,
                .default_text = "bounded_rendezvous",
                .text = "How backend servers are ranked for a request; the "
                        "others are baselines for measurements.",
                .choices = names_of<ranking_policy>},
    setting_row{.section = s::shared,
                .key = "retry_ratio",
                .type = t::decimal,
                .unit = "repeats per request",
                .min = 0,
                .max = 10,
                .default_text = "0.2",
                .text = "Repeats that a service may get from all routers."},
    setting_row{.section = s::shared,
                .key = "retry_slack",
                .type = t::decimal,
                .unit = "repeats",
                .min = 0,
                .max = 100'000,
                .default_text = "50",
                .text = "Repeats beyond `retry_ratio` in one window, of all "
                        "routers."},
    setting_row{.section = s::shared,
                .key = "retry_window_s",
                .type = t::decimal,
                .unit = "s",
                .min = 1,
                .max = 600,
                .default_text = "10",
                .text = "Window in which repeats are counted."},
    setting_row{.section = s::shared,
                .key = "cold_overage",
                .type = t::decimal,
                .unit = "times",
                .min = 0,
                .max = 100,
                .default_text = "1.5",
                .text = "What a cold server gets from all routers, over the "
                        "rate that it states."},
    setting_row{.section = s::shared,
                .key = "cold_slack",
                .type = t::decimal,
                .unit = "requests/s",
                .min = 0,
                .max = 10'000,
                .default_text = "5",
                .text = "Requests to a cold server beyond `cold_overage`."},
    setting_row{.section = s::shared,
                .key = "stop_limit_s",
                .type = t::decimal,
                .unit = "s",
                .min = 1,
                .max = 3'600,
                .default_text = "8",
                .text = "Time from the stop signal until the process is "
                        "killed."},
    setting_row{.section = s::shared,
                .key = "load_factor",
                .type = t::decimal,
                .unit = "times",
                .min = 1,
                .max = 100,
                .default_text = "2",
                .text = "Load of a server over the mean of its service that "
                        "the deployment allows."},
    setting_row{.section = s::shared,
                .key = "leaving_limit_ms",
                .type = t::decimal,
                .unit = "ms",
                .min = 100,
                .max = 600'000,
                .default_text = "2000",
                .text = "Time from a server's leave until it gets no new "
                        "request. Read at the start."},
    setting_row{.section = s::shared,
                .key = "rules_limit_ms",
                .type = t::decimal,
                .unit = "ms",
                .min = 100,
                .max = 600'000,
                .default_text = "2000",
                .text = "Time from new rules until they are in force. Read at "
                        "the start."},
    setting_row{.section = s::shared,
                .key = "exposure_share",
                .type = t::decimal,
                .unit = "share",
                .min = 0,
                .max = 1,
                .default_text = "0.1",
                .text = "Share of a service's requests that a bad version may "
                        "get until its rollout's deadline."},
    setting_row{.section = s::shared,
                .key = "exposure_slack",
                .type = t::decimal,
                .unit = "requests",
                .min = 0,
                .max = 100'000,
                .default_text = "50",
                .text = "Requests to a bad version beyond `exposure_share`, of "
                        "all routers."},
    setting_row{.section = s::shared,
                .key = "rollback_ms",
                .type = t::decimal,
                .unit = "ms",
                .min = 100,
                .max = 600'000,
                .default_text = "5000",
                .text = "Time from the 50th bad answer of a version until it "
                        "gets no more requests."},
    setting_row{.section = s::shared,
                .key = "server_priorities",
                .type = t::choice,
                .default_text = "off",
                .text = "Whether requests state their priority towards model "
                        "servers whose routes have different ranks.",
                .choices = names_of<server_priority_mode>},
    setting_row{.section = s::shared,
                .key = "waiting",
                .type = t::choice,
                .default_text = "off",
                .text = "What a router does while a service is short of room: "
                        "send each request at once, or let requests wait and "
                        "send the most urgent first.",
                .choices = names_of<waiting_mode>},
    setting_row{.section = s::log,
                .key = "level",
                .type = t::choice,
                .default_text = "info",
                .text = "Least severity that is written to standard error.",
                .choices = names_of<log_level>},
};

bool is_integer_within(setting_row const& row, std::string_view text)
{
    std::uint64_t value = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc{} && parsed.ptr == end && value >= row.min &&
           value <= row.max;
}

bool is_decimal_within(setting_row const& row, std::string_view text)
{
    double value = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc{} && parsed.ptr == end &&
           value >= static_cast<double>(row.min) &&
           value <= static_cast<double>(row.max);
}

bool is_key(std::string_view text)
{
    return !text.empty() && text.size() <= max_key_bytes &&
           std::ranges::all_of(text, is_printable);
}

bool is_remote_address(std::string_view text)
{
    auto const parsed = parse_endpoint(text);
    return parsed && parsed->port != 0;
}

bool is_own_address(std::string_view text)
{
    auto const parsed = parse_endpoint(text);
    return parsed && parsed->address != "0.0.0.0";
}

bool is_address_list(std::string_view text)
{
    std::size_t count = 0;
    while (!text.empty())
    {
        auto const comma = text.find(',');
        auto item = text.substr(0, comma);
        while (item.starts_with(' '))
            item.remove_prefix(1);
        while (item.ends_with(' '))
            item.remove_suffix(1);
        if (!is_remote_address(item) || ++count > max_peers)
            return false;
        if (comma == std::string_view::npos)
            return true;
        text.remove_prefix(comma + 1);
        if (text.empty())
            return false;
    }
    return true;
}

} // namespace

std::span<setting_row const> setting_rows()
{
    return rows;
}

setting_row const* find_setting(std::string_view section, std::string_view key)
{
    for (auto const& row : rows)
    {
        if (to_name(row.section) == section && row.key == key)
            return &row;
    }
    return nullptr;
}

bool is_valid(setting_row const& row, std::string_view text)
{
    switch (row.type)
    {
    case t::identifier:
        return is_identifier(text);
    case t::listen_address:
        return parse_endpoint(text).has_value();
    case t::own_address:
        return is_own_address(text);
    case t::address:
        return text.empty() || is_remote_address(text);
    case t::address_list:
        return is_address_list(text);
    case t::integer:
        return is_integer_within(row, text);
    case t::decimal:
        return is_decimal_within(row, text);
    case t::choice:
        return std::ranges::count(row.choices(), text) == 1;
    case t::key:
        return is_key(text);
    case t::file:
        return text.size() <= max_file_bytes;
    }
    return false;
}

std::string remedy_of(setting_row const& row)
{
    switch (row.type)
    {
    case t::identifier:
        return "use 1 to 64 letters, digits, '.', '_' or '-', starting with "
               "a letter or digit";
    case t::listen_address:
        return "use an IPv4 address and port, like 0.0.0.0:8080";
    case t::own_address:
        return "use an IPv4 address of this instance, not 0.0.0.0, and a "
               "port, like 10.0.0.5:8081";
    case t::address:
        return "use an IPv4 address and a port above 0, like 10.0.0.9:2379";
    case t::address_list:
        return fmt::format("use up to {} addresses like 10.0.0.6:8083, "
                           "separated by commas",
                           max_peers);
    case t::integer:
        return fmt::format("use a whole number from {} to {}", row.min,
                           row.max);
    case t::decimal:
        return fmt::format("use a number from {} to {}, like 0.5", row.min,
                           row.max);
    case t::choice:
        return fmt::format("use one of: {}", fmt::join(row.choices(), ", "));
    case t::key:
        return fmt::format("use 1 to {} printable characters without spaces",
                           max_key_bytes);
    case t::file:
        return "use the path of a file";
    }
    return {};
}

} // namespace bramleyarch::config
