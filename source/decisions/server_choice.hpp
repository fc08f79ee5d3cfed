/// Choice of a server where each router admits requests itself.
///
/// All routers rank the servers of a shared prompt alike and without traffic,
/// so that its requests meet where the prompt is cached, and spill from there
/// in the same order when that server has more than its part of the load.
#pragma once

#include "common/enum_names.hpp"
#include "common/request.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace bramleyarch::decisions
{

/// A server that may be sent the request, as this router believes it to be.
struct server_candidate
{
    std::uint64_t hash = 0;  ///< Of its id.
    double load = 0;         ///< Requests there, of all routers.
    std::uint32_t slots = 1; ///< Requests that it works on at once.
    bool own_domain = false;
};

enum class choice_cause
{
    first_of_prompt,  ///< Where the prompt's requests meet.
    shared_of_prompt, ///< One of several, since the prompt is hot.
    spilled,          ///< Those before it have more than their part.
    least_loaded,     ///< No shared prompt, or all have their part.
};

constexpr auto enum_names(choice_cause)
{
    using c = choice_cause;
    using row = enum_name<choice_cause>;
    return std::array{row{c::first_of_prompt, "first_of_prompt"},
                      row{c::shared_of_prompt, "shared_of_prompt"},
                      row{c::spilled, "spilled"},
                      row{c::least_loaded, "least_loaded"}};
}

struct server_choice_options
{
    /// The deployment's limit on the load of a server: this many times the
    /// mean of the service and `limit_slack` requests more.
    double limit_factor = 2;
    double limit_slack = 3; ///< Stated by the deployment's rules.
    /// Part of the limit from which a server gets no more than its share. The
    /// rest is for what other routers sent since they last told their loads.
    double usable_fraction = 0.8;
};

struct server_choice
{
    std::size_t index = 0;
    choice_cause cause = choice_cause::least_loaded;
};

/// What requests with one prompt share.
struct shared_prefix
{
    std::uint64_t key = 0; ///< Of the last shared part.
    std::uint32_t tokens = 0;
    /// Servers, first of the prompt's order, that share its requests.
    std::size_t replicas = 1;
};

/// The part by which requests with this prompt find their server: the last
/// one that others share too. Nothing when there is no shared part.
std::optional<shared_prefix>
find_shared_prefix(std::vector<prompt_part> const& prompt);

/// Place of a server in the prompt's order: the greatest weight comes first.
std::uint64_t prompt_weight(shared_prefix const& prompt, std::uint64_t server);

/// Load up to which a server is sent requests of its prompts.
double load_bound(double mean, server_choice_options const& options);

/// Nothing when there is no option. `mean` is the load of a server of the
/// service on average, those included that can't be sent anything now. `draw`
/// is a random number, which decides between equals.
std::optional<server_choice>
select_server(std::vector<server_candidate> const& servers, double mean,
              std::optional<shared_prefix> prompt,
              server_choice_options const& options, std::uint64_t draw);

} // namespace bramleyarch::decisions
