#include "control/load/oracle.hpp"

#include <algorithm>
#include <tuple>
#include <unordered_map>

namespace bramleyarch::load
{

namespace
{

/// A request starts or ends at a server of a service.
struct load_change
{
    std::int64_t at_ms = 0;
    bool start = false; ///< Ends of the same millisecond come first.
    std::string const* server = nullptr;
};

std::vector<load_change> changes_at(config::service_config const& service,
                                    std::vector<logged_run> const& runs)
{
    std::vector<load_change> changes;
    for (auto const& run : runs)
    {
        bool const here = std::ranges::any_of(
            service.servers, [&run](config::server_config const& server)
            { return server.id.value == run.server; });
        if (!here || run.ended_ms == 0)
            continue;
        changes.push_back({run.started_ms, true, &run.server});
        changes.push_back({run.ended_ms, false, &run.server});
    }
    std::ranges::stable_sort(changes, {},
                             [](load_change const& change) {
                                 return std::tuple{change.at_ms, change.start};
                             });
    return changes;
}

void judge_service(oracle_figures& made, config::document const& doc,
                   config::service_config const& service,
                   std::vector<logged_run> const& runs)
{
    std::unordered_map<std::string, int> in_flight;
    int total = 0;
    for (auto const& change : changes_at(service, runs))
    {
        int const by = change.start ? 1 : -1;
        int const held = in_flight[*change.server] += by;
        total += by;
        if (!change.start)
            continue;
        double const mean = total / static_cast<double>(service.servers.size());
        double const bound = doc.limits.load_bound_percent / 100.0 * mean + 1;
        ++made.admissions;
        made.admitted_above_bound += held > bound ? 1 : 0;
        made.worst_admission_excess =
            std::max(made.worst_admission_excess, held - bound);
    }
}

} // namespace

void judge_admissions(oracle_figures& made, config::document const& doc,
                      std::vector<logged_run> const& runs)
{
    for (auto const& service : doc.services)
    {
        if (service.kind == config::service_kind::model)
            judge_service(made, doc, service, runs);
    }
}

} // namespace bramleyarch::load
