#include "config/prefix_checks.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace bramleyarch::config
{

namespace
{

std::string prefix_path(std::size_t service)
{
    return fmt::format("$.services[{}].path_prefix", service);
}

/// Services that share one prefix must be model services, each model in one.
void check_shared_prefix(document const& doc,
                         std::vector<std::size_t> const& sharing,
                         std::vector<fault>& faults)
{
    std::map<std::string, std::size_t> service_of;
    for (auto const i : sharing)
    {
        auto const& service = doc.services[i];
        if (service.kind == service_kind::plain)
        {
            faults.push_back({prefix_path(i),
                              fmt::format("\"{}\" is used by another service",
                                          service.path_prefix),
                              "give the plain service a prefix of its own"});
            continue;
        }
        for (auto const& model : service.models)
        {
            auto const [found, added] = service_of.emplace(model, i);
            if (!added && found->second != i)
                faults.push_back(
                    {fmt::format("$.services[{}].models", i),
                     fmt::format("\"{}\" is offered under the same prefix by "
                                 "service \"{}\"",
                                 model, doc.services[found->second].id.value),
                     "offer the model in one of them, or change a prefix"});
        }
    }
}

/// Whether `hidden` matches nothing that `earlier` does not match.
bool hides(route_config const& earlier, route_config const& hidden)
{
    bool const method =
        earlier.method == "*" || earlier.method == hidden.method;
    return method && hidden.path_prefix.starts_with(earlier.path_prefix);
}

} // namespace

void check_prefixes(document const& doc, std::vector<fault>& faults)
{
    std::map<std::string_view, std::vector<std::size_t>> services_of;
    for (std::size_t i = 0; i < doc.services.size(); ++i)
        services_of[doc.services[i].path_prefix].push_back(i);
    // In sorted order the prefixes that begin with one another are adjacent.
    std::vector<std::string_view> outer;
    for (auto const& [prefix, sharing] : services_of)
    {
        if (sharing.size() > 1)
            check_shared_prefix(doc, sharing, faults);
        while (!outer.empty() && !prefix.starts_with(outer.back()))
            outer.pop_back();
        if (!outer.empty())
            faults.push_back(
                {prefix_path(sharing.front()),
                 fmt::format(
                     "\"{}\" begins with the prefix \"{}\" of service "
                     "\"{}\"",
                     prefix, outer.back(),
                     doc.services[services_of[outer.back()].front()].id.value),
                 "use prefixes of which none begins with another"});
        outer.push_back(prefix);
    }
}

void check_routes(service_config const& service, std::string const& path,
                  std::vector<fault>& faults)
{
    for (std::size_t i = 0; i < service.routes.size(); ++i)
    {
        auto const& route = service.routes[i];
        auto const end = service.routes.begin() + static_cast<long>(i);
        auto const earlier =
            std::find_if(service.routes.begin(), end,
                         [&](auto const& r) { return hides(r, route); });
        if (earlier != end)
            faults.push_back(
                {fmt::format("{}.routes[{}]", path, i),
                 fmt::format("never matches: routes[{}] matches first",
                             earlier - service.routes.begin()),
                 "put the narrower route first, or remove this one"});
    }
}

} // namespace bramleyarch::config
