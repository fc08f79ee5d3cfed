#include "authority.hpp"

#include "deployment.hpp"

#include <fmt/format.h>

#include <array>
#include <string>

namespace examples
{

namespace
{

using namespace bramleyarch;
using namespace bramleyarch::config;
using namespace std::chrono_literals;

constexpr std::array domains{"west-a", "west-b", "west-c"};

/// How many servers of each model service a failure domain has.
struct domain_share
{
    int summaries;
    int questions;
    int tags;
};
constexpr std::array<domain_share, 3> shares{{{2, 3, 1}, {2, 3, 1}, {2, 2, 2}}};

void add_teams(draft& d)
{
    add_demo_team(d, "residents",
                  {.weight = 4, .rate_limit = 400, .burst = 200});
    add_demo_team(d, "dispatch", {.weight = 4});
    add_demo_team(d, "wash-crews", {.weight = 3});
    add_demo_team(d, "photo-desk",
                  {.weight = 2, .rate_limit = 200, .burst = 100});
    add_demo_team(d, "call-centre", {.weight = 2});
    add_demo_team(d, "billing", {.weight = 2});
    add_demo_team(d, "odour-desk", {.rate_limit = 50, .burst = 25});
    add_demo_team(d, "inspectors", {});
    add_demo_team(d, "schools", {.rate_limit = 20, .burst = 20});
    add_demo_team(d, "web-site", {.rate_limit = 100, .burst = 50});
}

void add_services(draft& d)
{
    // Dispatchers read route summaries before dawn.
    add_model_service(d, {.id = "route-summaries",
                          .models = {"route-summary"},
                          .priority = request_priority::interactive,
                          .deadline = 60s});
    // Residents ask about missed washes and odour complaints.
    add_model_service(d, {.id = "resident-questions",
                          .models = {"resident-answers"},
                          .priority = request_priority::interactive,
                          .deadline = 60s});
    // Short tags sort photos of soiled carts.
    add_model_service(d, {.id = "photo-tags",
                          .models = {"cart-tags"},
                          .priority = request_priority::batch,
                          .deadline = 20s});
    // Washes and fees run at most once; schedules are read at the curb.
    add_plain_service(d, {.id = "booking",
                          .path_prefix = "/booking",
                          .priority = request_priority::interactive,
                          .deadline = 15s});
    add_idempotent(d, "booking",
                   {.method = "GET", .path_prefix = "/schedules"});
    add_non_idempotent(d, "booking",
                       {.method = "POST", .path_prefix = "/washes"});
    add_non_idempotent(d, "booking",
                       {.method = "POST", .path_prefix = "/fees"});
}

/// Adds `count` servers of a model service to one failure domain.
void add_model_servers(draft& d, std::string const& service, std::size_t domain,
                       int first, int count)
{
    for (int i = 0; i < count; ++i)
        add_server(
            d, service,
            {.id = fmt::format("{}-model-{}", domains[domain], first + i + 1),
             .domain = domains[domain],
             .address =
                 fmt::format("10.20.{}.{}:8000", domain + 1, 10 + first + i),
             .capacity = 16,
             .cold_capacity = 2,
             .fencing = fencing_support::checked});
}

void add_servers(draft& d)
{
    for (std::size_t i = 0; i < domains.size(); ++i)
    {
        auto const& share = shares[i];
        add_model_servers(d, "route-summaries", i, 0, share.summaries);
        add_model_servers(d, "resident-questions", i, share.summaries,
                          share.questions);
        add_model_servers(d, "photo-tags", i, share.summaries + share.questions,
                          share.tags);
        add_plain_server(d, "booking", domains[i],
                         fmt::format("10.20.{}", i + 1));
    }
}

} // namespace

draft authority()
{
    auto const add_all_domains = [](draft& d)
    { add_domains(d, domains, "prairie-west"); };
    return make_deployment(add_all_domains, add_teams, add_services,
                           add_servers);
}

} // namespace examples
