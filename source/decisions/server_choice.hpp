/// Choice of a server in fleets where each router admits requests itself.
///
/// All routers rank the servers for a shared prompt prefix in the same way,
/// without exchanging messages. Requests with that prefix thus go to the server
/// that has it cached, and overflow from there in the same order when that
/// server has more than its share of the load.
#pragma once

#include "common/enum_names.hpp"
#include "common/request.hpp"
#include "common/time.hpp"

#include <array>
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
    /// It accepts few requests and is not the first server of the prefix. It
    /// gets requests with a prefix only if no other server has room, so that
    /// prefixes do not spread over all servers that accept a request at the
    /// moment.
    bool overflow_only = false;
    /// Time that work takes, relative to the usual time. Only used where a
    /// server of the service states its pace, as are the members below.
    double pace = 1;
    /// `load`, or more if the server reported so a moment ago.
    double expected_load = 0;
    /// Prompt tokens that the server has yet to read for this router.
    double unread_tokens = 0;
};

/// Why a server was chosen.
enum class choice_cause
{
    preferred,    ///< The first server in the order of the prefix.
    hot_prompt,   ///< One of several that share the requests of a hot prompt.
    overflow,     ///< The servers before it have more than their share.
    least_loaded, ///< No shared prefix, or all servers have their share.
    least_cost,   ///< As `least_loaded`, but by expected work and pace.
    other_pace,   ///< A preferred server would take clearly longer.
};

constexpr auto enum_names(choice_cause)
{
    using c = choice_cause;
    using row = enum_name<choice_cause>;
    return std::array{row{c::preferred, "first_of_prompt"},
                      row{c::hot_prompt, "shared_of_prompt"},
                      row{c::overflow, "spilled"},
                      row{c::least_loaded, "least_loaded"},
                      row{c::least_cost, "least_cost"},
                      row{c::other_pace, "other_pace"}};
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

/// Work that a request is expected to cause.
struct expected_work
{
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answer_tokens = 0;
    /// Allowed time between the events of a stream; zero: not stated.
    duration gap_target{};
};

struct work_choice_options
{
    /// Speed at which a server reads prompts, as in `prompt_copy_options`.
    double tokens_per_ms = 50;
    /// Used where a route states no target for the gaps of its streams. Callers
    /// stop waiting for an event after some 500 ms.
    duration default_gap_target = std::chrono::milliseconds{500};
    /// Answer tokens that delay the streams of a server as much as reading one
    /// prompt token does. They are produced in batches with those of the other
    /// requests, so that one more costs little.
    double answer_tokens_per_prompt_token = 10;
    /// Shared prefixes from this size on are copied between servers. A copy
    /// delays the server by the set-up, 250 tokens, and by a tenth of the time
    /// that reading would take.
    std::uint32_t min_copied_tokens = 512;
    double copy_setup_tokens = 250;
    double copy_fraction = 0.1;
    /// A random one of the servers whose costs exceed the least by no more than
    /// this is chosen. It corresponds to the change of the load between two
    /// reports, about a tenth of the slots.
    double near_equal = 0.1;
    /// Beyond these, servers that cost no more than one with the mean load and
    /// the usual pace are added, up to this fraction of all. Many routers read
    /// the same loads, which are up to 0.6 s old, while a stream runs for some
    /// seconds: a server that looks idle to all of them then gets no more than
    /// about the mean load before they know of it.
    double least_fraction = 1.0 / 6;
    /// Cost by which another server must be better than a preferred one: a
    /// quarter of the allowed gap.
    double least_gain = 0.25;
    /// Servers after the preferred one, in the order of the prefix, that are
    /// considered instead of it. More would spread a prefix over the fleet.
    std::size_t max_alternatives = 3;
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

/// As `select_server`, for a service whose servers state their pace. A request
/// with a shared prefix stays with its preferred server unless that one,
/// because of its pace or load, would delay streams clearly longer than one of
/// the next servers in the order of the prefix. Other requests go to a random
/// one of the servers with nearly the least cost. The bounds of `options` on
/// the loads hold as in `select_server`.
std::optional<server_choice> select_server_by_work(
    std::vector<server_candidate> const& candidates, double mean,
    std::optional<shared_prefix> prefix, expected_work const& work,
    server_choice_options const& options,
    work_choice_options const& work_options, std::uint64_t draw);

/// Returns the prompt tokens that the chosen server is expected to read.
double tokens_to_read(server_choice const& choice,
                      std::optional<shared_prefix> const& prefix,
                      expected_work const& work,
                      work_choice_options const& options);

} // namespace bramleyarch::decisions
