#include "services/owner/owner_parts.hpp"

#include "common/digest.hpp"

#include <nlohmann/json.hpp>

namespace bramleyarch::services::owning
{

namespace
{

nlohmann::json server_status(owner_state const& state,
                             owned_server const& server)
{
    auto const load = load_of(state, server);
    return {{"server", load.server.value},
            {"service", server.service.value},
            {"domain", server.config.domain.value},
            {"owned", server.owned},
            {"in_service", server.in_service},
            {"in_flight", server.in_flight},
            {"held_by_others", server.remote_in_flight},
            {"queued", load.queued},
            {"limit", load.limit},
            {"capacity", server.config.capacity},
            {"cold", load.cold},
            {"cold_cause", to_name(server.slow_start.cause)},
            {"breaker", to_name(server.breaker.state)},
            {"mean_service_ms", to_ms(server.mean_service)}};
}

} // namespace

std::string status_text(owner_state const& state, time_point at)
{
    nlohmann::json text{
        {"router", state.options.self.value},
        {"draining", state.draining},
        {"revision", state.config ? state.config->version : 0},
        {"attempts", state.attempts.size()},
        {"quarantined", decisions::count_quarantined(state.suspect_bodies, at)},
        {"servers", nlohmann::json::array()}};
    for (auto const& [id, server] : state.servers)
        text["servers"].push_back(server_status(state, server));
    return text.dump();
}

double random_fraction(owner_state& state)
{
    constexpr double scale = 1.0 / 18446744073709551616.0; // 2^-64
    auto const bits = mix(state.options.seed, ++state.random_draws);
    return static_cast<double>(bits) * scale;
}

} // namespace bramleyarch::services::owning
