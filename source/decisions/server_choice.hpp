/// Choice of a server in fleets where each router admits requests itself.
///
/// All routers rank the servers for a shared prompt prefix in the same way,
/// without exchanging messages. Requests with that prefix thus go to the server
/// that has it cached, and overflow from there in the same order when that
/// server has more than its share of the load.
#pragma once

#include "common/enum_names.hpp"
#include "common/request.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace bramleyarch::decisions
{

/// A server that may be sent the request, with its load as far as this router
/// knows.
struct server_candidate
{
    std::uint64_t hash = 0;  ///< Hash of the server's id.
    double load = 0;         ///< Requests in flight, of all routers.
    std::uint32_t slots = 1; ///< Requests that it can run at once.
    bool own_domain = false; ///< In the failure domain of this router.
};

/// Why a server was chosen.
enum class choice_cause
{
    preferred,    ///< The first server in the order of the prefix.
    hot_prompt,   ///< One of several that share the requests of a hot prompt.
    overflow,     ///< The servers before it have more than their share.
    least_loaded, ///< No shared prefix, or all servers have their share.
};

constexpr auto enum_names(choice_cause)
{
    using c = choice_cause;
    using row = enum_name<choice_cause>;
    return std::array{row{c::preferred, "first_of_prompt"},
                      row{c::hot_prompt, "shared_of_prompt"},
                      row{c::overflow, "spilled"},
                      row{c::least_loaded, "least_loaded"}};
}

/// The deployment's limit on the load of a server, and how it is used.
struct server_choice_options
{
    /// Multiple of the mean load of the service that is allowed.
    double limit_factor = 2;
    /// Requests allowed in addition. The deployment's rules state this value.
    double limit_slack = 3;
    /// Fraction of the limit up to which a server is sent requests because of
    /// their prefix. The rest is reserved for requests that other routers have
    /// sent since they last reported their loads.
    double usable_fraction = 0.8;
};

struct server_choice
{
    std::size_t index = 0; ///< Into the candidates.
    choice_cause cause = choice_cause::least_loaded;
};

/// Prefix of a prompt that other requests share.
struct shared_prefix
{
    std::uint64_t key = 0;    ///< Id of the last shared part.
    std::uint32_t tokens = 0; ///< Of all shared parts.
    /// Number of servers, from the first in the order of the prefix, between
    /// which its requests are distributed.
    std::size_t replicas = 1;
};

/// Returns the prefix that requests with this prompt share, which is all of its
/// parts but the last, or std::nullopt if there are fewer than two parts.
std::optional<shared_prefix>
find_shared_prefix(std::vector<prompt_part> const& prompt);

/// Returns the rendezvous weight of a server, given by the hash of its id. In
/// the order of the prefix, the server with the greatest weight comes first.
std::uint64_t prefix_weight(shared_prefix const& prefix, std::uint64_t server);

/// Returns the load up to which a server is sent requests because of their
/// prefix. `mean` is the mean load of a server of the service.
double load_bound(double mean, server_choice_options const& options);

/// Selects a server for a request, or returns std::nullopt if there is no
/// candidate. `mean` is the mean load of a server of the service, including
/// servers that can't be sent requests now. `draw` is a random number that
/// decides between equal servers.
std::optional<server_choice>
select_server(std::vector<server_candidate> const& candidates, double mean,
              std::optional<shared_prefix> prefix,
              server_choice_options const& options, std::uint64_t draw);

} // namespace bramleyarch::decisions
