#include "services/routing/routing_parts.hpp"

#include "common/digest.hpp"

#include <nlohmann/json.hpp>

namespace bramleyarch::services::routing
{

namespace
{

nlohmann::json server_status(routing_state const& state,
                             eligible_server const& server, time_point at)
{
    nlohmann::json text{{"server", server.id.value},
                        {"owner", server.owner.value}};
    auto const load = state.loads.find(server.id);
    if (load == state.loads.end())
        return text;
    text["believed_in_flight"] =
        estimate_in_flight(load->second, at, state.options.load_decay);
    text["own_in_flight"] = load->second.local;
    if (!load->second.reported)
        return text;
    text["limit"] = load->second.reported->limit;
    text["cold"] = load->second.reported->cold;
    text["usable"] = load->second.reported->usable;
    return text;
}

nlohmann::json team_status(team_id const& team,
                           decisions::team_bucket const& bucket)
{
    return {{"team", team.value},
            {"rate_limit_per_s", bucket.rate},
            {"share", bucket.share},
            {"own_demand_per_s", bucket.local_demand}};
}

} // namespace

std::string status_text(routing_state const& state, time_point at)
{
    nlohmann::json text{
        {"router", state.options.self.value},
        {"policy", to_name(state.options.policy)},
        {"draining", state.draining},
        {"revision", state.config ? state.config->version : 0},
        {"in_flight", state.requests.size()},
        {"quarantined", decisions::count_quarantined(state.quarantine, at)},
        {"servers", nlohmann::json::array()},
        {"teams", nlohmann::json::array()}};
    for (auto const& [id, service] : state.services)
    {
        for (auto const& server : service.servers)
        {
            auto entry = server_status(state, server, at);
            entry["service"] = id.value;
            text["servers"].push_back(std::move(entry));
        }
    }
    for (auto const& [team, bucket] : state.limits.teams)
        text["teams"].push_back(team_status(team, bucket));
    return text.dump();
}

std::uint64_t random_bits(routing_state& state)
{
    return mix(state.options.seed, ++state.random_calls);
}

double random_unit(routing_state& state)
{
    constexpr double scale = 1.0 / 18446744073709551616.0; // 2^-64
    return static_cast<double>(random_bits(state)) * scale;
}

} // namespace bramleyarch::services::routing
