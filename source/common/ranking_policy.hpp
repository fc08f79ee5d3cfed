/// Policies by which backend servers are ranked.
#pragma once

#include "common/enum_names.hpp"

namespace bramleyarch
{

/// How an entry router ranks the backend servers for a request; all but the
/// first are baselines for measurements.
enum class ranking_policy
{
    bounded_rendezvous,  ///< Rendezvous order, servers over the bound skipped.
    rendezvous,          ///< Rendezvous order, whatever the load.
    round_robin,         ///< In turn.
    least_loaded,        ///< Lowest believed load.
    power_of_two_choices ///< Lower believed load of two by hash.
};

constexpr auto enum_names(ranking_policy)
{
    using p = ranking_policy;
    using row = enum_name<ranking_policy>;
    return std::array{
        row{p::bounded_rendezvous, "bounded_rendezvous"},
        row{p::rendezvous, "rendezvous"},
        row{p::round_robin, "round_robin"},
        row{p::least_loaded, "least_loaded"},
        row{p::power_of_two_choices, "power_of_two_choices"},
    };
}

} // namespace bramleyarch
