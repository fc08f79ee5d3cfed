/// Settings of a router process, read from an INI file.
#pragma once

#include "common/enum_names.hpp"
#include "common/ids.hpp"
#include "common/ranking_policy.hpp"
#include "common/time.hpp"
#include "common/waiting_mode.hpp"
#include "config/fault.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bramleyarch::config
{

/// Exit code of a program whose settings have faults.
constexpr int exit_invalid_settings = 2;

enum class platform_mode : std::uint8_t
{
    embedded, ///< No platform; the configuration comes from a file.
    etcd,     ///< The platform's service, etcd v3 JSON protocol.
    store,    ///< The users' platform; each router admits its own requests.
};

constexpr auto enum_names(platform_mode)
{
    return std::array{
        enum_name<platform_mode>{platform_mode::embedded, "embedded"},
        enum_name<platform_mode>{platform_mode::etcd, "etcd"},
        enum_name<platform_mode>{platform_mode::store, "store"},
    };
}

enum class log_level : std::uint8_t
{
    error,
    warning,
    info,
};

constexpr auto enum_names(log_level)
{
    return std::array{
        enum_name<log_level>{log_level::error, "error"},
        enum_name<log_level>{log_level::warning, "warning"},
        enum_name<log_level>{log_level::info, "info"},
    };
}

struct router_settings
{
    router_id id;
    domain_id domain;
    region_id region;
};

struct listen_settings
{
    endpoint callers;   ///< HTTP for callers.
    endpoint admin;     ///< HTTP for operators.
    endpoint link;      ///< TCP, fleet link.
    endpoint heartbeat; ///< UDP.
    /// `link` and `heartbeat` as other routers reach them: told to them in
    /// heartbeats and in the platform's list.
    endpoint advertised_link;
    endpoint advertised_heartbeat;
};

struct fleet_settings
{
    std::vector<endpoint> peers; ///< Heartbeat endpoints to ask first.
    duration heartbeat_interval{};
    duration suspect_after{};
    duration gone_after{};
};

struct platform_settings
{
    platform_mode mode = platform_mode::embedded;
    endpoint address;
    duration timeout{};
    std::string document_key;
    std::string instance_prefix;
    duration instance_ttl{};
    std::uint32_t calls_per_second = 0;
    std::uint32_t max_calls_in_flight = 0;
    std::string config_file;
};

struct limit_settings
{
    std::uint32_t max_connections = 0;
    std::uint32_t max_header_bytes = 0;
    duration header_timeout{};
    duration body_timeout{};
    duration silence_limit{};
    duration drain_grace{};
    duration drain_limit{};
    std::uint32_t timeline_events = 0;
    std::uint32_t memory_mb = 0; ///< MiB; 0: not stated.
    duration stalled_after{};
    std::uint32_t min_progress_bytes = 0;
};

struct routing_settings
{
    ranking_policy policy = ranking_policy::bounded_rendezvous;
};

/// Whether requests state their priority towards model servers.
enum class server_priority_mode : std::uint8_t
{
    off,
    on,
};

constexpr auto enum_names(server_priority_mode)
{
    return std::array{
        enum_name<server_priority_mode>{server_priority_mode::off, "off"},
        enum_name<server_priority_mode>{server_priority_mode::on, "on"},
    };
}

/// Limits that hold for all routers together; only in mode `store`.
struct shared_limit_settings
{
    double retry_ratio = 0; ///< Repeats for each request.
    double retry_slack = 0; ///< Repeats beyond that in the window.
    duration retry_window{};
    double cold_overage = 0;  ///< Times a cold server's stated rate.
    double cold_slack = 0;    ///< Requests a second beyond that.
    duration stop_limit{};    ///< From the signal to the forced end.
    double load_factor = 0;   ///< Times the mean load that a server may have.
    duration leaving_limit{}; ///< From a leave until no request follows it.
    duration rules_limit{};   ///< From new rules until they are in force.
    /// What a bad version may get until its rollout's deadline: a share of the
    /// requests to its service, and requests beyond that.
    double exposure_share = 0;
    double exposure_slack = 0;
    /// From the 50th bad answer of a version until it gets no more requests.
    duration rollback_limit{};
    server_priority_mode server_priorities = server_priority_mode::off;
    waiting_mode waiting = waiting_mode::off;
};

/// All settings; one member per section of the file.
struct settings
{
    router_settings router;
    listen_settings listen;
    fleet_settings fleet;
    platform_settings platform;
    limit_settings limits;
    routing_settings routing;
    shared_limit_settings shared;
    log_level level = log_level::info;
};

/// Settings that were read; meaningful only when `faults` is empty.
struct parsed_settings
{
    settings value;
    std::vector<fault> faults;
};

/// Reads the text of a settings file. All faults are given, each with
/// `file:line`.
parsed_settings parse_settings(std::string_view text, std::string const& file);

/// Reads a settings file; a file that can't be read is a fault.
parsed_settings read_settings(std::string const& file);

} // namespace bramleyarch::config
