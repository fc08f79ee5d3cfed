/// Choice of a backend server for one request from believed loads.
///
/// A request with a chat goes to the first server in the chat's rendezvous
/// order whose believed load is under the load bound, so that a chat returns
/// to the same server from any router, and overflows to the same second
/// choice. The result is a wish: the server's owner decides with exact counts.
#pragma once

#include "common/enum_names.hpp"
#include "common/ids.hpp"
#include "common/ranking_policy.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace bramleyarch::decisions
{

using bramleyarch::ranking_policy;

/// Why a server was chosen.
enum class choice_reason
{
    first_choice,  ///< First in the chat's order.
    overflow,      ///< Servers before it are over the bound or were tried.
    lower_load,    ///< Less loaded of those compared.
    next_in_turn,  ///< By turn.
    await_prefix,  ///< First in the chat's order, though at the bound.
    all_saturated, ///< None is under the bound: the shortest wait.
};

constexpr auto enum_names(choice_reason)
{
    using r = choice_reason;
    using row = enum_name<choice_reason>;
    return std::array{
        row{r::first_choice, "first choice of the chat"},
        row{r::overflow, "overflow from an earlier choice"},
        row{r::lower_load, "lower load of those compared"},
        row{r::next_in_turn, "next in turn"},
        row{r::await_prefix, "first choice of the chat, waits for room"},
        row{r::all_saturated, "all saturated, shortest wait"},
    };
}

/// An eligible server as the entry router believes it to be.
struct candidate
{
    server_id id;
    std::uint64_t hash = 0;     ///< `name_hash(id.value)`.
    std::uint32_t capacity = 1; ///< Weight in the rendezvous order.
    double load = 0;            ///< Requests in flight.
    double queued = 0;          ///< Requests waiting.
    double limit = 1;           ///< Most that its owner admits now.
    bool usable = true;         ///< False: breaker open, or dead.
    bool tried = false;         ///< This request was offered there before.
};

struct ranking_options
{
    ranking_policy policy = ranking_policy::bounded_rendezvous;
    std::uint32_t load_bound_percent = 125;
    /// Let a chat wait shortly for the server that holds its prefix.
    bool await_prefix = true;
};

/// What the choice depends on besides the candidates.
struct ranking_key
{
    std::uint64_t chat = 0;        ///< 0: the request belongs to no chat.
    std::uint64_t random_bits = 0; ///< Differs between requests: ties, turns.
};

struct choice
{
    std::size_t index = 0; ///< Into the candidates.
    choice_reason reason = choice_reason::first_choice;
};

/// Weight of a server for a key: the highest comes first. A server gets a
/// share of the keys proportional to its capacity, and a change of one server
/// moves only keys from or to that server.
double rendezvous_weight(std::uint64_t key, std::uint64_t server_hash,
                         double capacity);

/// Mean of load over limit of the usable candidates.
double mean_utilisation(std::vector<candidate> const& candidates);

/// True when one more request keeps `load` within the bound and the limit.
bool is_under_bound(double load, double limit, double mean_utilisation,
                    std::uint32_t load_bound_percent);

/// Chooses among the candidates that are usable and not tried; nothing when
/// there is none.
std::optional<choice> choose_server(std::vector<candidate> const& candidates,
                                    ranking_key key,
                                    ranking_options const& options);

/// Order of the usable candidates for a chat, best first.
std::vector<std::size_t>
rendezvous_order(std::vector<candidate> const& candidates, std::uint64_t chat);

} // namespace bramleyarch::decisions
