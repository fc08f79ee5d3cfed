#include "control/load/sampler.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bramleyarch::load
{

namespace
{

bool is_eligible(config::document const& doc,
                 config::server_config const& server)
{
    if (server.state != config::server_state::in_service)
        return false;
    return std::ranges::any_of(doc.domains,
                               [&server](config::domain_config const& domain)
                               {
                                   return domain.id == server.domain &&
                                          domain.state ==
                                              config::domain_state::in_service;
                               });
}

} // namespace

void read_loads(std::string_view page, server_loads& loads)
{
    auto const state = nlohmann::json::parse(page, nullptr, false);
    if (!state.is_object() || !state.contains("servers"))
        return;
    for (auto const& server : state["servers"])
    {
        if (server.contains("running"))
            loads[server.value("name", "")] =
                server.value("running", 0U) + server.value("waiting", 0U);
    }
}

std::vector<load_sample> make_samples(config::document const& doc,
                                      server_loads const& loads, duration at)
{
    std::vector<load_sample> samples;
    for (auto const& service : doc.services)
    {
        if (service.kind != config::service_kind::model)
            continue;
        load_sample sample{.at = at, .service = service.id.value};
        std::uint64_t total = 0;
        for (auto const& server : service.servers)
        {
            auto const found = loads.find(server.id.value);
            if (found == loads.end() || !is_eligible(doc, server))
                continue;
            ++sample.servers;
            total += found->second;
            sample.most = std::max(sample.most, found->second);
        }
        if (sample.servers == 0)
            continue;
        sample.mean = static_cast<double>(total) / sample.servers;
        samples.push_back(sample);
    }
    return samples;
}

} // namespace bramleyarch::load
