#include "services/admin/pages.hpp"

#include "services/messages/backend.hpp"
#include "services/messages/claims.hpp"
#include "services/messages/configuration.hpp"
#include "services/messages/link.hpp"
#include "services/messages/members.hpp"
#include "services/messages/names.hpp"
#include "services/messages/owner.hpp"
#include "services/messages/peers.hpp"
#include "services/messages/platform.hpp"
#include "services/messages/routing.hpp"
#include "services/messages/store.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace bramleyarch::services
{

namespace
{

constexpr std::string_view plain_text = "text/plain; charset=utf-8";
constexpr std::string_view json_type = "application/json";

enum class page
{
    healthz,
    readyz,
    metrics,
    timeline,
    status,
    drain,
};

constexpr auto enum_names(page)
{
    using row = enum_name<page>;
    return std::array{
        row{page::healthz, "/healthz"}, row{page::readyz, "/readyz"},
        row{page::metrics, "/metrics"}, row{page::timeline, "/timeline"},
        row{page::status, "/status"},   row{page::drain, "/drain"},
    };
}

/// Sends `query` to a service; one that is not there counts as asked, so
/// that it is named as missing.
template <class Message, class Query>
bool ask(admin_state& state, pending_page& pending, service_name name,
         Query query)
{
    pending.asked.push_back(name);
    return send(state.names->find<Message>(to_name(name)), std::move(query));
}

template <class Message>
void ask_status(admin_state& state, pending_page& pending,
                http::exchange_id exchange, service_name name)
{
    ask<Message>(
        state, pending, name,
        status_query{[to = state.self, exchange, name](std::string json)
                     {
                         send(to,
                              admin_status_section{.connection = exchange,
                                                   .service = name,
                                                   .json = std::move(json)});
                     }});
}

void ask_all(admin_state& state, pending_page& pending,
             http::exchange_id exchange)
{
    using n = service_name;
    ask_status<front_message>(state, pending, exchange, n::front);
    ask_status<routing_message>(state, pending, exchange, n::routing);
    if (state.serves_deployment)
    {
        ask_status<backend_message>(state, pending, exchange, n::backend);
        ask_status<store_message>(state, pending, exchange, n::store);
        ask_status<peers_message>(state, pending, exchange, n::peers);
        return;
    }
    ask_status<owner_message>(state, pending, exchange, n::owner);
    ask_status<backend_message>(state, pending, exchange, n::backend);
    ask_status<link_message>(state, pending, exchange, n::link);
    ask_status<members_message>(state, pending, exchange, n::members);
    ask_status<configuration_message>(state, pending, exchange,
                                      n::configuration);
    ask_status<claims_message>(state, pending, exchange, n::claims);
    ask_status<platform_message>(state, pending, exchange, n::platform);
}

template <class Message, class Query>
void ask_page(admin_state& state, pending_page& pending,
              http::exchange_id exchange, service_name name,
              std::string_view content_type)
{
    auto reply = [to = state.self, exchange, content_type](std::string body)
    {
        send(to, admin_page{.connection = exchange,
                            .content_type = std::string{content_type},
                            .body = std::move(body)});
    };
    ask<Message>(state, pending, name, Query{std::move(reply)});
}

void show_text(admin_state& state, http::exchange_id exchange, int status,
               std::string_view text)
{
    show(state, exchange, status, std::string{plain_text}, text);
}

void show_readiness(admin_state& state, http::exchange_id exchange)
{
    if (state.draining)
        show_text(state, exchange, 503, "draining\n");
    else if (state.config == 0)
        show_text(state, exchange, 503, "no configuration\n");
    else if (state.serves_deployment || state.standing == member_state::live)
        show_text(state, exchange, 200, "ready\n");
    else if (!state.standing || *state.standing == member_state::joining)
        show_text(state, exchange, 503, "joining: peers not heard yet\n");
    else
        show_text(state, exchange, 503, "replaced by a later start\n");
}

void start_drain(admin_state& state, http::exchange_id exchange)
{
    if (state.options.start_drain)
        state.options.start_drain();
    show_text(state, exchange, 202, "draining\n");
}

/// Whether all asked services have given their part of the status page.
bool is_complete(pending_page const& pending)
{
    return pending.parts.size() == pending.asked.size();
}

nlohmann::json part_value(std::string const& text)
{
    auto value = nlohmann::json::parse(text, nullptr, false);
    return value.is_discarded() ? nlohmann::json(text) : value;
}

std::string status_json(admin_state const& state, pending_page const& pending)
{
    nlohmann::json services = nlohmann::json::object();
    nlohmann::json missing = nlohmann::json::array();
    for (auto const name : pending.asked)
    {
        auto const found = pending.parts.find(name);
        if (found == pending.parts.end())
            missing.push_back(to_name(name));
        else
            services[std::string{to_name(name)}] = part_value(found->second);
    }
    nlohmann::json const status{{"router", state.options.router.value},
                                {"config_version", state.config},
                                {"draining", state.draining},
                                {"services", std::move(services)},
                                {"missing", std::move(missing)}};
    return status.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

void finish_status(admin_state& state, http::exchange_id exchange)
{
    auto const node = state.pages.extract(exchange);
    show(state, exchange, 200, std::string{json_type},
         status_json(state, node.mapped()));
}

void ask_for(admin_state& state, http::exchange_id exchange, page wanted)
{
    auto& pending = state.pages[exchange];
    pending.due = now(*state.clock) + state.options.reply_limit;
    if (wanted == page::metrics)
        ask_page<metrics_message, metrics_query>(
            state, pending, exchange, service_name::metrics, plain_text);
    else if (wanted == page::timeline)
        ask_page<timeline_message, timeline_query>(
            state, pending, exchange, service_name::timeline, json_type);
    else
        ask_all(state, pending, exchange);
}

} // namespace

void show(admin_state& state, http::exchange_id exchange, int status,
          std::string const& content_type, std::string_view body)
{
    http::send_answer(
        *state.server, exchange,
        {.status = status, .headers = {{"content-type", content_type}}}, body);
}

void open_page(admin_state& state, http::request_received const& request)
{
    auto const path = request.target.substr(0, request.target.find('?'));
    auto const wanted = from_name<page>(path);
    if (!wanted)
    {
        show_text(state, request.id, 404, "no such page\n");
        return;
    }
    auto const* const method = wanted == page::drain ? "POST" : "GET";
    if (request.method != method)
    {
        show_text(state, request.id, 405, fmt::format("use {}\n", method));
        return;
    }
    switch (*wanted)
    {
    case page::healthz:
        show_text(state, request.id, 200, "live\n");
        break;
    case page::readyz:
        show_readiness(state, request.id);
        break;
    case page::drain:
        start_drain(state, request.id);
        break;
    default:
        ask_for(state, request.id, *wanted);
    }
}

void take_page(admin_state& state, admin_page const& page)
{
    if (state.pages.erase(page.connection) > 0)
        show(state, page.connection, page.status, page.content_type, page.body);
}

void take_part(admin_state& state, admin_status_section part)
{
    auto const found = state.pages.find(part.connection);
    if (found == state.pages.end())
        return;
    found->second.parts[part.service] = std::move(part.json);
    if (is_complete(found->second))
        finish_status(state, part.connection);
}

void expire_pages(admin_state& state, time_point at)
{
    std::vector<http::exchange_id> expired;
    for (auto const& [exchange, pending] : state.pages)
    {
        if (pending.due <= at)
            expired.push_back(exchange);
    }
    for (auto const exchange : expired)
    {
        auto const& asked = state.pages.at(exchange).asked;
        if (asked.size() > 1)
        {
            finish_status(state, exchange);
            continue;
        }
        auto const text = fmt::format("missing: {}\n", to_name(asked.front()));
        state.pages.erase(exchange);
        show_text(state, exchange, 504, text);
    }
}

} // namespace bramleyarch::services
