/// The operators' library: builds a configuration document in code.
///
/// A program makes a draft, adds to it, and ends with
/// `return print_canonical(draft);`. Faults don't stop it: they are collected
/// and reported together. See `examples/`.
#pragma once

#include "config/fault.hpp"
#include "config/model.hpp"

#include <string>
#include <vector>

namespace bramleyarch::config
{

/// A document in the making with the faults found while adding to it.
struct draft
{
    document doc;
    std::vector<fault> faults;
};

struct document_options
{
    revision based_on = 0; ///< Version in force that the change is based on.
    limits_config limits;
};

struct domain_options
{
    std::string id;
    std::string region;
    domain_state state = domain_state::in_service;
};

struct team_options
{
    std::string id;
    std::uint32_t weight = 1;     ///< Share of a contended queue.
    std::uint32_t rate_limit = 0; ///< Requests per second; 0: no limit.
    std::uint32_t burst = 0;      ///< Requests above the rate at once.
    std::vector<std::string> api_key_digests; ///< SHA-256, hexadecimal.
    std::vector<std::string> api_keys;        ///< Only digests are kept.
};

struct model_service_options
{
    std::string id;
    std::string path_prefix = "/v1";
    std::vector<std::string> models;
    request_priority priority = request_priority::standard;
    milliseconds deadline{60'000};
};

struct plain_service_options
{
    std::string id;
    std::string path_prefix;
    /// Kind of requests that match no route.
    request_kind default_kind = request_kind::non_idempotent;
    request_priority priority = request_priority::standard;
    milliseconds deadline{30'000};
};

struct route_options
{
    std::string method = "*";
    std::string path_prefix = "/"; ///< Within the service.
};

struct server_options
{
    std::string id;
    std::string domain;
    std::string address; ///< `10.0.0.1:8080`.
    std::uint32_t capacity = 1;
    std::uint32_t cold_capacity = 1;
    server_state state = server_state::in_service;
    /// Models that it holds; empty: all models of its service.
    std::vector<std::string> models;
    fencing_support fencing = fencing_support::ignored;
};

/// Starts a document.
draft make_document(document_options options = {});

void add_domain(draft& d, domain_options options);

void add_team(draft& d, team_options options);

/// Adds a service of language model servers; all its requests are
/// idempotent.
void add_model_service(draft& d, model_service_options options);

/// Adds a service of any HTTP servers.
void add_plain_service(draft& d, plain_service_options options);

/// Says that requests to a route of `service` may run more than once. Routes
/// are tried in the order of adding.
void add_idempotent(draft& d, std::string const& service,
                    route_options options);

/// Says that requests to a route of `service` run at most once.
void add_non_idempotent(draft& d, std::string const& service,
                        route_options options);

/// Adds a backend server to `service`.
void add_server(draft& d, std::string const& service, server_options options);

/// Gives the server `id` another address, as tests and staging do.
void set_address(draft& d, std::string const& id, std::string const& address);

/// All faults: those found while adding, and those of the document.
std::vector<fault> all_faults(draft const& d);

/// Prints the canonical JSON to standard output and returns 0, or all faults
/// to standard error and returns 2.
int print_canonical(draft const& d);

} // namespace bramleyarch::config
