#include "amagiri.hpp"

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

constexpr std::array domains{"kyushu-1", "kyushu-2", "kyushu-3", "kyushu-4"};

void add_teams(draft& d)
{
    add_demo_team(d, "store-staff",
                  {.weight = 5, .rate_limit = 500, .burst = 250});
    add_demo_team(d, "plumbers", {.weight = 4});
    add_demo_team(d, "hardware-counters", {.weight = 3});
    add_demo_team(d, "home-owners",
                  {.weight = 2, .rate_limit = 300, .burst = 150});
    add_demo_team(d, "order-desk", {.weight = 3});
    add_demo_team(d, "field-service", {.weight = 2});
    add_demo_team(d, "wholesale", {});
    add_demo_team(d, "returns-desk", {});
    add_demo_team(d, "web-shop",
                  {.weight = 2, .rate_limit = 200, .burst = 100});
    add_demo_team(d, "training", {.rate_limit = 20, .burst = 20});
}

void add_services(draft& d)
{
    add_model_service(d, {.id = "cartridge-finder",
                          .models = {"cartridge-finder"},
                          .priority = request_priority::interactive,
                          .deadline = 30s});
    // Long answers on tap fit.
    add_model_service(d, {.id = "fit-advisor",
                          .models = {"fit-advisor"},
                          .priority = request_priority::interactive,
                          .deadline = 120s});
    // Reservations and reorders run at most once; stock is read freely.
    add_plain_service(d, {.id = "orders",
                          .path_prefix = "/orders",
                          .priority = request_priority::interactive,
                          .deadline = 15s});
    add_idempotent(d, "orders", {.method = "GET", .path_prefix = "/stock"});
    add_non_idempotent(d, "orders",
                       {.method = "POST", .path_prefix = "/reservations"});
    add_non_idempotent(d, "orders",
                       {.method = "POST", .path_prefix = "/reorders"});
}

/// Adds advisor server `number` of one failure domain.
void add_advisor(draft& d, std::string const& service, std::size_t domain,
                 int number)
{
    add_server(
        d, service,
        {.id = fmt::format("{}-advisor-{}", domains[domain], number),
         .domain = domains[domain],
         .address = fmt::format("10.30.{}.{}:8000", domain + 1, 10 + number),
         .capacity = 16,
         .cold_capacity = 2});
}

void add_servers(draft& d)
{
    for (std::size_t i = 0; i < domains.size(); ++i)
    {
        add_advisor(d, "cartridge-finder", i, 1);
        add_advisor(d, "fit-advisor", i, 2);
        add_advisor(d, "fit-advisor", i, 3);
        add_plain_server(d, "orders", domains[i],
                         fmt::format("10.30.{}", i + 1));
    }
}

} // namespace

draft amagiri()
{
    auto const add_all_domains = [](draft& d)
    { add_domains(d, domains, "kyushu"); };
    return make_deployment(add_all_domains, add_teams, add_services,
                           add_servers);
}

} // namespace examples
