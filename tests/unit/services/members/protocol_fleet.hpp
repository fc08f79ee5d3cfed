/// Protocol state machines that exchange datagrams in memory. The test advances
/// the time.
#pragma once

#include "services/members/protocol.hpp"
#include "wire/heartbeats.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bramleyarch::test
{

using namespace std::chrono_literals;

struct protocol_node
{
    services::protocol state;
    bool running = true;
    std::size_t bytes_sent = 0;
    std::size_t datagrams_sent = 0;
    std::size_t max_datagram_bytes = 0;
    std::vector<services::received_loads> loads;
    std::vector<services::member_transition> transitions;
};

struct protocol_fleet
{
    time_point now{1000s};
    std::vector<protocol_node> nodes;
    /// Returns whether a datagram from the first node to the second arrives.
    std::function<bool(std::size_t, std::size_t)> arrives =
        [](std::size_t, std::size_t) { return true; };
    /// Called with each node's output, if set.
    std::function<void(std::size_t, services::protocol_output const&)>
        on_output;
};

inline endpoint endpoint_of(std::size_t n)
{
    return {.address = "10.20.30.40",
            .port = static_cast<std::uint16_t>(20'000 + n)};
}

inline router_id router_name(std::size_t n)
{
    return {"router-" + std::to_string(n)};
}

inline member make_member(std::size_t n, std::size_t domains,
                          incarnation started = 1'700'000'000'000)
{
    return {.id = router_name(n),
            .domain = {"domain-" + std::to_string(n % domains)},
            .started = started,
            .link = {.address = "10.20.30.40",
                     .port = static_cast<std::uint16_t>(10'000 + n)},
            .heartbeat = endpoint_of(n),
            .admin = {.address = "10.20.30.40",
                      .port = static_cast<std::uint16_t>(30'000 + n)},
            .config = 5};
}

inline services::protocol make_node(std::size_t n, std::size_t domains,
                                    time_point now, incarnation started = 1)
{
    services::protocol_options options{.seeds = {endpoint_of(0)}};
    return services::make_protocol(
        options, make_member(n, domains, 1'700'000'000'000 + started), now);
}

inline protocol_fleet make_fleet(std::size_t size, std::size_t domains = 3)
{
    protocol_fleet fleet;
    for (std::size_t n = 0; n < size; ++n)
        fleet.nodes.push_back({.state = make_node(n, domains, fleet.now)});
    return fleet;
}

void deliver(protocol_fleet& fleet, std::size_t from,
             services::protocol_output const& out);

/// Encodes a datagram, counts its bytes and delivers it to its receiver.
inline void send_datagram(protocol_fleet& fleet, std::size_t from,
                          services::datagram const& message)
{
    auto const bytes = wire::encode_heartbeat(message.content);
    auto& sender = fleet.nodes[from];
    sender.bytes_sent += bytes.size();
    ++sender.datagrams_sent;
    sender.max_datagram_bytes =
        std::max(sender.max_datagram_bytes, bytes.size());
    std::size_t const to = message.to.port - 20'000U;
    if (to >= fleet.nodes.size() || !fleet.nodes[to].running ||
        !fleet.arrives(from, to))
        return;
    auto const decoded = wire::decode_heartbeat(bytes);
    deliver(fleet, to,
            services::handle_heartbeat(fleet.nodes[to].state, decoded.value(),
                                       endpoint_of(from), fleet.now));
}

inline void deliver(protocol_fleet& fleet, std::size_t from,
                    services::protocol_output const& out)
{
    auto& node = fleet.nodes[from];
    node.loads.insert(node.loads.end(), out.loads.begin(), out.loads.end());
    node.transitions.insert(node.transitions.end(), out.transitions.begin(),
                            out.transitions.end());
    if (fleet.on_output)
        fleet.on_output(from, out);
    for (auto const& message : out.datagrams)
        send_datagram(fleet, from, message);
}

/// Advances the time by one round, which every running node runs.
inline void run_round(protocol_fleet& fleet)
{
    fleet.now += 250ms;
    for (std::size_t n = 0; n < fleet.nodes.size(); ++n)
    {
        if (fleet.nodes[n].running)
            deliver(fleet, n,
                    services::begin_heartbeat_round(fleet.nodes[n].state,
                                                    fleet.now));
    }
}

inline void run_for(protocol_fleet& fleet, duration time)
{
    for (auto const end = fleet.now + time; fleet.now < end;)
        run_round(fleet);
}

/// Returns the state of node `of` in the view of node `at`, or gone if the view
/// does not have it.
inline member_state state_at(protocol_fleet const& fleet, std::size_t at,
                             std::size_t of)
{
    auto const& view = fleet.nodes[at].state.view;
    if (!view)
        return member_state::gone;
    auto const found =
        std::ranges::find(view->members, router_name(of), &member::id);
    return found == view->members.end() ? member_state::gone : found->state;
}

/// Returns true if all other running nodes see node `of` in `state`.
inline bool all_see(protocol_fleet const& fleet, std::size_t of,
                    member_state state)
{
    for (std::size_t n = 0; n < fleet.nodes.size(); ++n)
    {
        if (n != of && fleet.nodes[n].running &&
            state_at(fleet, n, of) != state)
            return false;
    }
    return true;
}

/// Returns true if every running node sees every other running node as live.
inline bool all_live(protocol_fleet const& fleet)
{
    for (std::size_t n = 0; n < fleet.nodes.size(); ++n)
    {
        if (fleet.nodes[n].running && !all_see(fleet, n, member_state::live))
            return false;
    }
    return true;
}

/// Runs rounds until `done` returns true, at most `limit`. Returns their
/// number.
template <class Done>
int rounds_until(protocol_fleet& fleet, Done done, int limit = 400)
{
    int rounds = 0;
    while (!done() && rounds < limit)
    {
        run_round(fleet);
        ++rounds;
    }
    return rounds;
}

} // namespace bramleyarch::test
