#include "config/builder.hpp"

#include "common/digest.hpp"
#include "common/endpoint_text.hpp"
#include "config/checks.hpp"
#include "config/document_json.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>

namespace bramleyarch::config
{

namespace
{

constexpr int exit_invalid_document = 2;

service_config* find_service(draft& d, std::string const& id,
                             std::string const& subject)
{
    auto const found =
        std::ranges::find(d.doc.services, service_id{id}, &service_config::id);
    if (found != d.doc.services.end())
        return &*found;
    d.faults.push_back({subject, fmt::format("no service \"{}\"", id),
                        "add the service first, or correct its name"});
    return nullptr;
}

endpoint parse_address(draft& d, std::string const& server,
                       std::string const& address)
{
    if (auto const parsed = parse_endpoint(address))
        return *parsed;
    d.faults.push_back({fmt::format("server {}", server),
                        fmt::format("address is not valid: \"{}\"", address),
                        "use an IPv4 address and a port, like 10.0.0.1:8080"});
    // Keeps the check of the form from reporting the address once more.
    return {"0.0.0.0", static_cast<std::uint16_t>(d.faults.size())};
}

void add_route(draft& d, std::string const& service, route_options options,
               request_kind kind)
{
    auto const subject =
        fmt::format("route {} {}", options.method, options.path_prefix);
    if (auto* const to = find_service(d, service, subject))
        to->routes.push_back({.method = std::move(options.method),
                              .path_prefix = std::move(options.path_prefix),
                              .kind = kind});
}

} // namespace

draft make_document(document_options options)
{
    draft d;
    d.doc.version = options.based_on;
    d.doc.limits = options.limits;
    return d;
}

void add_domain(draft& d, domain_options options)
{
    d.doc.domains.push_back({.id = {std::move(options.id)},
                             .region = {std::move(options.region)},
                             .state = options.state});
}

void add_team(draft& d, team_options options)
{
    auto digests = std::move(options.api_key_digests);
    for (auto const& key : options.api_keys)
        digests.push_back(sha256_hex(key));
    d.doc.teams.push_back({.id = {std::move(options.id)},
                           .weight = options.weight,
                           .rate_limit = options.rate_limit,
                           .burst = options.burst,
                           .api_key_digests = std::move(digests)});
}

void add_model_service(draft& d, model_service_options options)
{
    d.doc.services.push_back({.id = {std::move(options.id)},
                              .kind = service_kind::model,
                              .path_prefix = std::move(options.path_prefix),
                              .models = std::move(options.models),
                              .default_kind = request_kind::idempotent,
                              .priority = options.priority,
                              .deadline = options.deadline});
}

void add_plain_service(draft& d, plain_service_options options)
{
    d.doc.services.push_back({.id = {std::move(options.id)},
                              .kind = service_kind::plain,
                              .path_prefix = std::move(options.path_prefix),
                              .default_kind = options.default_kind,
                              .priority = options.priority,
                              .deadline = options.deadline});
}

void add_idempotent(draft& d, std::string const& service, route_options options)
{
    add_route(d, service, std::move(options), request_kind::idempotent);
}

void add_non_idempotent(draft& d, std::string const& service,
                        route_options options)
{
    add_route(d, service, std::move(options), request_kind::non_idempotent);
}

void add_server(draft& d, std::string const& service, server_options options)
{
    auto* const to =
        find_service(d, service, fmt::format("server {}", options.id));
    if (!to)
        return;
    auto const address = parse_address(d, options.id, options.address);
    bool const all_models = options.models.empty();
    to->servers.push_back(
        {.id = {std::move(options.id)},
         .domain = {std::move(options.domain)},
         .address = address,
         .capacity = options.capacity,
         .cold_capacity = options.cold_capacity,
         .state = options.state,
         .models = all_models ? to->models : std::move(options.models),
         .fencing = options.fencing});
}

void set_address(draft& d, std::string const& id, std::string const& address)
{
    for (auto& service : d.doc.services)
    {
        auto const server = std::ranges::find(service.servers, server_id{id},
                                              &server_config::id);
        if (server == service.servers.end())
            continue;
        server->address = parse_address(d, id, address);
        return;
    }
    d.faults.push_back({fmt::format("server {}", id), "is not in the document",
                        "correct its name"});
}

std::vector<fault> all_faults(draft const& d)
{
    auto faults = d.faults;
    auto const found = check_document(d.doc);
    faults.insert(faults.end(), found.begin(), found.end());
    return faults;
}

int print_canonical(draft const& d)
{
    auto const faults = all_faults(d);
    if (!faults.empty())
    {
        std::fputs(describe(faults).c_str(), stderr);
        return exit_invalid_document;
    }
    std::fputs((to_canonical_json(d.doc) + '\n').c_str(), stdout);
    return 0;
}

} // namespace bramleyarch::config
