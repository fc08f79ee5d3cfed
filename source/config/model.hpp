/// The operators' configuration: one document, accepted as a whole.
#pragma once

#include "common/enum_names.hpp"
#include "common/ids.hpp"
#include "common/request.hpp"
#include "common/time.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace bramleyarch::config
{

using std::chrono::milliseconds;

enum class service_kind : std::uint8_t
{
    model, ///< Language model servers; requests belong to chats.
    plain, ///< Any HTTP service.
};

constexpr auto enum_names(service_kind)
{
    return std::array{
        enum_name<service_kind>{service_kind::model, "model"},
        enum_name<service_kind>{service_kind::plain, "plain"},
    };
}

enum class domain_state : std::uint8_t
{
    in_service,
    taken_out, ///< Its backend servers get no new work.
};

constexpr auto enum_names(domain_state)
{
    return std::array{
        enum_name<domain_state>{domain_state::in_service, "in_service"},
        enum_name<domain_state>{domain_state::taken_out, "taken_out"},
    };
}

enum class server_state : std::uint8_t
{
    in_service,
    leaving, ///< Gets no new work; work in flight is finished.
};

constexpr auto enum_names(server_state)
{
    return std::array{
        enum_name<server_state>{server_state::in_service, "in_service"},
        enum_name<server_state>{server_state::leaving, "leaving"},
    };
}

enum class fencing_support : std::uint8_t
{
    checked, ///< Orders with an old fencing number are refused.
    ignored, ///< Orders run whatever number they carry.
};

constexpr auto enum_names(fencing_support)
{
    return std::array{
        enum_name<fencing_support>{fencing_support::checked, "checked"},
        enum_name<fencing_support>{fencing_support::ignored, "ignored"},
    };
}

struct domain_config
{
    domain_id id;
    region_id region;
    domain_state state = domain_state::in_service;
};

struct team_config
{
    team_id id;
    std::uint32_t weight = 1; ///< Share of a contended queue.
    /// Requests per second over the whole fleet; 0: no limit.
    std::uint32_t rate_limit = 0;
    std::uint32_t burst = 0; ///< Requests above the rate at once.
    /// SHA-256 digests of the team's API keys, 64 hexadecimal digits each.
    std::vector<std::string> api_key_digests;
};

struct server_config
{
    server_id id;
    domain_id domain;
    endpoint address;
    std::uint32_t capacity = 1;      ///< Requests in flight when warm.
    std::uint32_t cold_capacity = 1; ///< Requests in flight when just started.
    server_state state = server_state::in_service;
    std::vector<std::string> models; ///< Models that it holds.
    fencing_support fencing = fencing_support::ignored;
};

/// Requests whose method and path match. The first matching row decides.
struct route_config
{
    std::string method;      ///< Upper case; "*" matches any.
    std::string path_prefix; ///< Within the service, begins with '/'.
    request_kind kind = request_kind::non_idempotent;
};

struct service_config
{
    service_id id;
    service_kind kind = service_kind::plain;
    /// Requests whose path begins with this belong to the service. A model
    /// service is chosen among those with the same prefix by the model name.
    std::string path_prefix;
    std::vector<std::string> models;
    std::vector<route_config> routes;
    /// Kind of requests that match no route.
    request_kind default_kind = request_kind::non_idempotent;
    request_priority priority = request_priority::standard;
    milliseconds deadline{30'000};
    std::vector<server_config> servers;
};

struct limits_config
{
    /// Greatest load of a backend server over the mean, in percent.
    std::uint32_t load_bound_percent = 125;
    std::uint32_t max_body_bytes = 1U << 20;
    std::uint32_t queue_per_server = 64;        ///< Waiting requests.
    std::uint32_t retry_budget_percent = 10;    ///< Retries per 100 requests.
    std::uint32_t max_candidates = 4;           ///< Offers per request.
    milliseconds key_retention{24 * 3'600'000}; ///< Idempotency keys.
    milliseconds quarantine{600'000};
};

/// A whole configuration. `version` is raised by 1 by each accepted submit.
struct document
{
    revision version = 0;
    std::string submission_id; ///< Settles a submit whose reply was lost.
    std::vector<domain_config> domains;
    std::vector<team_config> teams;
    std::vector<service_config> services;
    limits_config limits;
};

} // namespace bramleyarch::config
