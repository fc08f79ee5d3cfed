#include "deployment.hpp"

#include <fmt/format.h>

namespace examples
{

using namespace bramleyarch::config;

void add_domains(draft& d, std::span<char const* const> domains,
                 std::string const& region)
{
    for (auto const* domain : domains)
        add_domain(d, {.id = domain, .region = region});
}

void add_demo_team(draft& d, std::string const& id, team_options options)
{
    options.id = id;
    options.api_keys = {id + "-key"};
    add_team(d, std::move(options));
}

void add_plain_server(draft& d, std::string const& service,
                      std::string const& domain, std::string const& network)
{
    add_server(d, service,
               {.id = fmt::format("{}-{}", domain, service),
                .domain = domain,
                .address = fmt::format("{}.50:8000", network),
                .capacity = 32,
                .cold_capacity = 8});
}

} // namespace examples
