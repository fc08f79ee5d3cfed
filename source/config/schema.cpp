#include "config/schema.hpp"

#include "config/enum_choices.hpp"
#include "config/model.hpp"

namespace bramleyarch::config
{

namespace
{

using o = object_kind;
using v = value_type;

constexpr std::uint64_t max_version = (1ULL << 53) - 1; // Exact in JSON.
constexpr std::uint64_t day_ms = 24ULL * 3'600'000;

constexpr std::array document_rows{
    field_row{.owner = o::document,
              .name = "version",
              .type = v::integer,
              .max = max_version,
              .default_text = "0",
              .text = "Version that the change is based on; an accepted "
                      "submit raises it by 1."},
    field_row{.owner = o::document,
              .name = "submission_id",
              .type = v::optional_identifier,
              .default_text = "\"\"",
              .text = "Set by a submit; settles one whose reply was lost."},
    field_row{.owner = o::document,
              .name = "domains",
              .type = v::object,
              .required = true,
              .list = true,
              .min = 1,
              .max = 64,
              .text = "Failure domains.",
              .child = o::domain},
    field_row{.owner = o::document,
              .name = "teams",
              .type = v::object,
              .required = true,
              .list = true,
              .max = 2'000,
              .text = "Teams that may send requests.",
              .child = o::team},
    field_row{.owner = o::document,
              .name = "services",
              .type = v::object,
              .required = true,
              .list = true,
              .max = 500,
              .text = "Services with their backend servers.",
              .child = o::service},
    field_row{.owner = o::document,
              .name = "limits",
              .type = v::object,
              .default_text = "all defaults",
              .text = "Limits over all services.",
              .child = o::limits},
};

constexpr std::array domain_rows{
    field_row{.owner = o::domain,
              .name = "id",
              .type = v::identifier,
              .required = true,
              .text = "Name of the failure domain, as in the routers' "
                      "settings."},
    field_row{.owner = o::domain,
              .name = "region",
              .type = v::identifier,
              .required = true,
              .text = "Region that the failure domain belongs to."},
    field_row{.owner = o::domain,
              .name = "state",
              .type = v::choice,
              .default_text = "in_service",
              .text = "`taken_out`: its backend servers get no new work.",
              .choices = names_of<domain_state>},
};

constexpr std::array team_rows{
    field_row{.owner = o::team,
              .name = "id",
              .type = v::identifier,
              .required = true,
              .text = "Name of the team."},
    field_row{.owner = o::team,
              .name = "weight",
              .type = v::integer,
              .min = 1,
              .max = 1'000,
              .default_text = "1",
              .text = "Share of a contended queue."},
    field_row{.owner = o::team,
              .name = "rate_limit",
              .type = v::integer,
              .max = 1'000'000,
              .unit = "requests/s",
              .default_text = "0",
              .text = "Limit over the whole fleet; 0: none."},
    field_row{.owner = o::team,
              .name = "burst",
              .type = v::integer,
              .max = 1'000'000,
              .unit = "requests",
              .default_text = "0",
              .text = "Requests above the rate at once."},
    field_row{.owner = o::team,
              .name = "api_key_digests",
              .type = v::digest,
              .list = true,
              .max = 32,
              .default_text = "[]",
              .text = "SHA-256 digests of the team's API keys."},
};

constexpr std::array service_rows{
    field_row{.owner = o::service,
              .name = "id",
              .type = v::identifier,
              .required = true,
              .text = "Name of the service."},
    field_row{.owner = o::service,
              .name = "kind",
              .type = v::choice,
              .required = true,
              .text = "`model`: requests belong to chats; `plain`: any HTTP "
                      "service.",
              .choices = names_of<service_kind>},
    field_row{.owner = o::service,
              .name = "path_prefix",
              .type = v::path,
              .required = true,
              .text = "Requests whose path begins with it belong to the "
                      "service."},
    field_row{.owner = o::service,
              .name = "models",
              .type = v::model_name,
              .list = true,
              .max = 100,
              .default_text = "[]",
              .text = "Models that the service offers; model services only."},
    field_row{.owner = o::service,
              .name = "routes",
              .type = v::object,
              .list = true,
              .max = 100,
              .default_text = "[]",
              .text = "Kinds of requests; the first matching row decides.",
              .child = o::route},
    field_row{.owner = o::service,
              .name = "default_kind",
              .type = v::choice,
              .default_text = "non_idempotent",
              .text = "Kind of requests that match no route.",
              .choices = names_of<request_kind>},
    field_row{.owner = o::service,
              .name = "priority",
              .type = v::choice,
              .default_text = "standard",
              .text = "Priority of its requests.",
              .choices = names_of<request_priority>},
    field_row{.owner = o::service,
              .name = "deadline_ms",
              .type = v::integer,
              .min = 100,
              .max = 3'600'000,
              .unit = "ms",
              .default_text = "30000",
              .text = "Time for the whole answer, unless the caller asks for "
                      "less."},
    field_row{.owner = o::service,
              .name = "servers",
              .type = v::object,
              .required = true,
              .list = true,
              .min = 1,
              .max = 2'000,
              .text = "Backend servers of the service.",
              .child = o::server},
};

constexpr std::array route_rows{
    field_row{.owner = o::route,
              .name = "method",
              .type = v::method,
              .default_text = "*",
              .text = "HTTP method in upper case; `*` matches any."},
    field_row{.owner = o::route,
              .name = "path_prefix",
              .type = v::path,
              .default_text = "/",
              .text = "Prefix of the path within the service."},
    field_row{.owner = o::route,
              .name = "kind",
              .type = v::choice,
              .required = true,
              .text = "`idempotent`: may run more than once; "
                      "`non_idempotent`: at most once, needs an "
                      "Idempotency-Key.",
              .choices = names_of<request_kind>},
};

constexpr std::array server_rows{
    field_row{.owner = o::server,
              .name = "id",
              .type = v::identifier,
              .required = true,
              .text = "Name of the backend server, unique in the document."},
    field_row{.owner = o::server,
              .name = "domain",
              .type = v::identifier,
              .required = true,
              .text = "Failure domain that it runs in."},
    field_row{.owner = o::server,
              .name = "address",
              .type = v::address,
              .required = true,
              .text = "Where it listens for HTTP."},
    field_row{.owner = o::server,
              .name = "capacity",
              .type = v::integer,
              .min = 1,
              .max = 100'000,
              .unit = "requests",
              .default_text = "1",
              .text = "Requests in flight that it bears when warm."},
    field_row{.owner = o::server,
              .name = "cold_capacity",
              .type = v::integer,
              .min = 1,
              .max = 100'000,
              .unit = "requests",
              .default_text = "1",
              .text = "Requests in flight that it bears when just started."},
    field_row{.owner = o::server,
              .name = "state",
              .type = v::choice,
              .default_text = "in_service",
              .text = "`leaving`: gets no new work.",
              .choices = names_of<server_state>},
    field_row{.owner = o::server,
              .name = "models",
              .type = v::model_name,
              .list = true,
              .max = 100,
              .default_text = "[]",
              .text = "Models that it holds; model services only."},
    field_row{.owner = o::server,
              .name = "fencing",
              .type = v::choice,
              .default_text = "ignored",
              .text = "Whether it refuses orders with an old fencing number.",
              .choices = names_of<fencing_support>},
};

constexpr std::array limits_rows{
    field_row{.owner = o::limits,
              .name = "load_bound_percent",
              .type = v::integer,
              .min = 100,
              .max = 1'000,
              .unit = "%",
              .default_text = "125",
              .text = "Greatest load of a backend server over the mean."},
    field_row{.owner = o::limits,
              .name = "max_body_bytes",
              .type = v::integer,
              .min = 1'024,
              .max = 67'108'864,
              .unit = "bytes",
              .default_text = "1048576",
              .text = "Greatest size of a request's body."},
    field_row{.owner = o::limits,
              .name = "queue_per_server",
              .type = v::integer,
              .max = 100'000,
              .unit = "requests",
              .default_text = "64",
              .text = "Requests that may wait for one backend server."},
    field_row{.owner = o::limits,
              .name = "retry_budget_percent",
              .type = v::integer,
              .max = 100,
              .unit = "%",
              .default_text = "10",
              .text = "Retries per 100 requests of a team."},
    field_row{.owner = o::limits,
              .name = "max_candidates",
              .type = v::integer,
              .min = 1,
              .max = 32,
              .unit = "servers",
              .default_text = "4",
              .text = "Backend servers that a request is offered to."},
    field_row{.owner = o::limits,
              .name = "key_retention_ms",
              .type = v::integer,
              .min = 60'000,
              .max = 30 * day_ms,
              .unit = "ms",
              .default_text = "86400000",
              .text = "Age up to which an Idempotency-Key is remembered; "
                      "older ones are refused."},
    field_row{.owner = o::limits,
              .name = "quarantine_ms",
              .type = v::integer,
              .min = 1'000,
              .max = day_ms,
              .unit = "ms",
              .default_text = "600000",
              .text = "Time that a body which killed servers is refused."},
};

template <std::size_t... Sizes>
constexpr auto concatenate(std::array<field_row, Sizes> const&... parts)
{
    std::array<field_row, (Sizes + ...)> all{};
    std::size_t next = 0;
    auto const append = [&](auto const& part)
    {
        for (auto const& row : part)
            all[next++] = row;
    };
    (append(parts), ...);
    return all;
}

constexpr auto all_rows =
    concatenate(document_rows, domain_rows, team_rows, service_rows, route_rows,
                server_rows, limits_rows);

} // namespace

std::span<field_row const> document_fields()
{
    return all_rows;
}

field_row const* find_field(object_kind owner, std::string_view name)
{
    for (auto const& row : all_rows)
    {
        if (row.owner == owner && row.name == name)
            return &row;
    }
    return nullptr;
}

} // namespace bramleyarch::config
