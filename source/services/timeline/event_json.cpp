#include "services/timeline/event_json.hpp"

#include "common/request_id_text.hpp"

#include <nlohmann/json.hpp>

namespace bramleyarch::services
{

namespace
{

using nlohmann::json;

json to_json(event const& e)
{
    json out{{"ms", e.at.wall_ms},
             {"logical", e.at.logical},
             {"kind", to_name(e.kind)}};
    if (e.request != request_id{})
        out["request"] = to_text(e.request);
    if (!e.server.empty())
        out["server"] = e.server.value;
    if (!e.team.empty())
        out["team"] = e.team.value;
    if (e.config != 0)
        out["revision"] = e.config;
    if (!e.cause.empty())
        out["cause"] = e.cause;
    return out;
}

result<event> event_from_json(json const& in)
{
    auto const kind = from_name<event_kind>(in.value("kind", ""));
    if (!kind)
        return fail(error_kind::invalid_request, "unknown event kind");
    event e;
    e.at = {in.value("ms", std::uint64_t{0}),
            in.value("logical", std::uint32_t{0})};
    e.kind = *kind;
    if (in.contains("request"))
    {
        auto const id = parse_request_id(in.value("request", ""));
        if (!id)
            return id.as_failure();
        e.request = id.value();
    }
    e.server.value = in.value("server", "");
    e.team.value = in.value("team", "");
    e.config = in.value("revision", revision{0});
    e.cause = in.value("cause", "");
    return e;
}

} // namespace

std::string timeline_to_json(router_timeline const& line)
{
    json events = json::array();
    for (auto const& e : line.events)
        events.push_back(to_json(e));
    json const out{{"router", line.router.value},
                   {"domain", line.domain.value},
                   {"dropped", line.dropped},
                   {"events", std::move(events)}};
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<router_timeline> timeline_from_json(std::string_view text)
{
    try
    {
        auto const in = json::parse(text);
        router_timeline line;
        line.router.value = in.value("router", "");
        line.domain.value = in.value("domain", "");
        line.dropped = in.value("dropped", std::uint64_t{0});
        for (auto const& row : in.at("events"))
        {
            auto e = event_from_json(row);
            if (!e)
                return e.as_failure();
            line.events.push_back(std::move(e).value());
        }
        return line;
    }
    catch (json::exception const& e)
    {
        return fail(error_kind::invalid_request, e.what());
    }
}

} // namespace bramleyarch::services
