/// What the descriptions of both deployments share.
#pragma once

#include "config/builder.hpp"

#include <span>
#include <string>

namespace examples
{

void add_domains(bramleyarch::config::draft& d,
                 std::span<char const* const> domains,
                 std::string const& region);

/// Adds a team with a key for demonstration; a real program lists digests
/// only.
void add_demo_team(bramleyarch::config::draft& d, std::string const& id,
                   bramleyarch::config::team_options options);

/// Adds the server of a plain service in one failure domain, at the address
/// that all of them have in its `network`, given by its first three numbers.
void add_plain_server(bramleyarch::config::draft& d, std::string const& service,
                      std::string const& domain, std::string const& network);

/// Adds up the parts of a description.
template <class... Parts>
bramleyarch::config::draft make_deployment(Parts... parts)
{
    auto d = bramleyarch::config::make_document(
        {.limits = {.load_bound_percent = 125}});
    (parts(d), ...);
    return d;
}

} // namespace examples
