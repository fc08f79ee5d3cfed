#include "config/checks.hpp"

#include "common/endpoint_text.hpp"
#include "config/document_json.hpp"
#include "config/prefix_checks.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace bramleyarch::config
{

namespace
{

using fault_list = std::vector<fault>;
using path_by_name = std::unordered_map<std::string, std::string>;

/// Reports `name` if it stands at another path already.
void check_unique(path_by_name& seen, std::string const& name,
                  std::string const& path, std::string_view remedy,
                  fault_list& faults)
{
    auto const [found, added] = seen.emplace(name, path);
    if (!added)
        faults.push_back(
            {path, fmt::format("\"{}\" is used by {} too", name, found->second),
             std::string{remedy}});
}

void check_domains(document const& doc, fault_list& faults)
{
    path_by_name ids;
    for (std::size_t i = 0; i < doc.domains.size(); ++i)
        check_unique(ids, doc.domains[i].id.value,
                     fmt::format("$.domains[{}].id", i),
                     "give each failure domain a name of its own", faults);
}

void check_teams(document const& doc, fault_list& faults)
{
    path_by_name ids;
    path_by_name digests;
    for (std::size_t i = 0; i < doc.teams.size(); ++i)
    {
        auto const& team = doc.teams[i];
        auto const path = fmt::format("$.teams[{}]", i);
        check_unique(ids, team.id.value, path + ".id",
                     "give each team a name of its own", faults);
        for (std::size_t k = 0; k < team.api_key_digests.size(); ++k)
            check_unique(digests, team.api_key_digests[k],
                         fmt::format("{}.api_key_digests[{}]", path, k),
                         "issue a key to one team only", faults);
        if (team.burst > 0 && team.rate_limit == 0)
            faults.push_back({path + ".burst", "has no effect without a rate",
                              "set rate_limit, or set burst to 0"});
    }
}

/// Checks one service's model names against those of its servers.
void check_models(service_config const& service, std::string const& path,
                  fault_list& faults)
{
    std::unordered_set<std::string> offered;
    for (std::size_t i = 0; i < service.models.size(); ++i)
    {
        if (!offered.insert(service.models[i]).second)
            faults.push_back(
                {fmt::format("{}.models[{}]", path, i),
                 fmt::format("\"{}\" stands twice", service.models[i]),
                 "name each model once"});
    }
    std::unordered_set<std::string> held;
    for (std::size_t i = 0; i < service.servers.size(); ++i)
    {
        auto const& server = service.servers[i];
        auto const models_path = fmt::format("{}.servers[{}].models", path, i);
        if (server.models.empty())
            faults.push_back({models_path, "is empty",
                              "name the models that the server holds"});
        for (auto const& model : server.models)
        {
            held.insert(model);
            if (!offered.contains(model))
                faults.push_back(
                    {models_path,
                     fmt::format("\"{}\" is no model of the service", model),
                     "add it to the service's models, or remove it here"});
        }
    }
    for (auto const& model : offered)
    {
        if (!held.contains(model))
            faults.push_back(
                {path + ".models",
                 fmt::format("\"{}\" is held by no server", model),
                 "add it to a server's models, or remove it here"});
    }
}

void check_no_models(service_config const& service, std::string const& path,
                     fault_list& faults)
{
    constexpr auto remedy = "remove the models, or set kind to \"model\"";
    if (!service.models.empty())
        faults.push_back(
            {path + ".models", "is set on a plain service", remedy});
    for (std::size_t i = 0; i < service.servers.size(); ++i)
    {
        if (!service.servers[i].models.empty())
            faults.push_back({fmt::format("{}.servers[{}].models", path, i),
                              "is set on a plain service", remedy});
    }
}

/// Names that servers of all services are checked against.
struct server_names
{
    std::unordered_set<std::string> domains;
    path_by_name ids;
    path_by_name addresses;
};

void check_server(server_config const& server, std::string const& path,
                  server_names& names, fault_list& faults)
{
    check_unique(names.ids, server.id.value, path + ".id",
                 "give each backend server a name of its own", faults);
    check_unique(names.addresses, to_text(server.address), path + ".address",
                 "give each backend server an address of its own", faults);
    if (!names.domains.contains(server.domain.value))
        faults.push_back({path + ".domain",
                          fmt::format("\"{}\" is no failure domain of the "
                                      "document",
                                      server.domain.value),
                          "add it to $.domains, or correct the name"});
    if (server.cold_capacity > server.capacity)
        faults.push_back({path + ".cold_capacity",
                          fmt::format("{} is above the capacity of {}",
                                      server.cold_capacity, server.capacity),
                          "use a value up to capacity"});
}

void check_service(service_config const& service, std::string const& path,
                   server_names& names, fault_list& faults)
{
    if (service.kind == service_kind::plain)
        check_no_models(service, path, faults);
    else if (service.models.empty())
        faults.push_back({path + ".models", "is empty",
                          "name the models that the service offers"});
    else
        check_models(service, path, faults);
    check_routes(service, path, faults);
    for (std::size_t i = 0; i < service.servers.size(); ++i)
        check_server(service.servers[i], fmt::format("{}.servers[{}]", path, i),
                     names, faults);
}

void check_services(document const& doc, fault_list& faults)
{
    server_names names;
    for (auto const& domain : doc.domains)
        names.domains.insert(domain.id.value);
    path_by_name ids;
    for (std::size_t i = 0; i < doc.services.size(); ++i)
    {
        auto const path = fmt::format("$.services[{}]", i);
        check_unique(ids, doc.services[i].id.value, path + ".id",
                     "give each service a name of its own", faults);
        check_service(doc.services[i], path, names, faults);
    }
}

} // namespace

std::vector<fault> check_relations(document const& doc)
{
    fault_list faults;
    check_domains(doc, faults);
    check_teams(doc, faults);
    check_services(doc, faults);
    check_prefixes(doc, faults);
    return faults;
}

std::vector<fault> check_document(document const& doc)
{
    auto faults = check_form(doc);
    if (faults.empty())
        faults = check_relations(doc);
    return faults;
}

} // namespace bramleyarch::config
