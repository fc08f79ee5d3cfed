/// Choice of a backend server for one request from estimated loads.
///
/// A request of a chat goes to the first server in the chat's rendezvous order
/// whose estimated load is under the load bound. So a chat returns to the same
/// server from any router, and overflows to the same second choice. The choice
/// is a proposal: the server's owner admits requests by exact counts.
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
    overflow,      ///< The servers before it are over the bound or tried.
    lower_load,    ///< Lowest load of those compared.
    next_in_turn,  ///< Round robin.
    await_prefix,  ///< First in the chat's order, but over the bound.
    all_saturated, ///< Shortest wait, since no server is under the bound.
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

/// An eligible server with its load as estimated by the entry router.
struct candidate
{
    server_id id;
    std::uint64_t hash = 0;     ///< `name_hash(id.value)`.
    std::uint32_t capacity = 1; ///< Weight in the rendezvous order.
    double load = 0;            ///< Number of requests in flight.
    double queued = 0;          ///< Number of requests that wait.
    double limit = 1;           ///< Maximum that its owner admits.
    bool usable = true;         ///< False: breaker open, or dead.
    bool tried = false;         ///< The request was offered to it before.
};

struct ranking_options
{
    ranking_policy policy = ranking_policy::bounded_rendezvous;
    std::uint32_t load_bound_percent = 125;
    /// Lets a chat wait in a short queue of the server that has its prefix in
    /// the cache.
    bool await_prefix = true;
};

/// Input of the choice besides the candidates.
struct ranking_key
{
    std::uint64_t chat = 0; ///< 0: the request belongs to no chat.
    /// Differ between requests. Break ties and select where a round-robin
    /// search starts.
    std::uint64_t random_bits = 0;
};

struct choice
{
    std::size_t index = 0; ///< Into the candidates.
    choice_reason reason = choice_reason::first_choice;
};

/// Returns the weight of a server for a key; the server with the highest weight
/// comes first. Each server gets a share of the keys proportional to its
/// capacity, and a change of one server moves only keys from or to that server.
double rendezvous_weight(std::uint64_t key, std::uint64_t server_hash,
                         double capacity);

/// Returns the total load of the usable candidates divided by their total
/// limit.
double mean_utilisation(std::vector<candidate> const& candidates);

/// True if `load` is within the load bound and one more request is within
/// `limit`.
bool is_under_bound(double load, double limit, double mean_utilisation,
                    std::uint32_t load_bound_percent);

/// Chooses among the candidates that are usable and not tried. Returns
/// std::nullopt if there is none.
std::optional<choice> choose_server(std::vector<candidate> const& candidates,
                                    ranking_key key,
                                    ranking_options const& options);

/// Returns the indices of the usable candidates in the rendezvous order of a
/// chat, first choice first.
std::vector<std::size_t>
rendezvous_order(std::vector<candidate> const& candidates, std::uint64_t chat);

} // namespace bramleyarch::decisions
