#include "services/backend/load_watch.hpp"

#include "services/backend/load_report.hpp"

#include <utility>

namespace bramleyarch::services
{

namespace
{

constexpr std::size_t max_report_bytes = 4096;
constexpr int status_ok = 200;

void send_failure(backend_state& state, server_id const& server, error cause)
{
    add(state.counts, counter::load_reports_failed);
    send(state.owner, server_load_report_failed{.server = server,
                                                .cause = std::move(cause)});
}

/// Marks that no request for a load report is in flight. Keeps the status and
/// the body of the response.
void clear_request(backend_state& state, watched_server& watched)
{
    state.report_requests.erase(watched.request_id);
    watched.request_id = 0;
}

void request_report(backend_state& state, server_id const& server,
                    watched_server& watched, time_point at)
{
    watched.request_id = ++state.last_request_id;
    watched.requested_at = at;
    watched.next_report_at = at + watched.interval;
    watched.status = 0;
    watched.body.clear();
    state.report_requests[watched.request_id] = server;
    http::open(*state.client, {.id = watched.request_id,
                               .to = watched.address,
                               .method = "GET",
                               .target = "/load",
                               .connect_limit = state.options.report_timeout,
                               .silence_limit = state.options.report_timeout});
}

void finish_report(backend_state& state, server_id const& server,
                   watched_server& watched)
{
    if (watched.status != status_ok)
    {
        send_failure(state, server,
                     {error_kind::server_protocol,
                      "load report has a status other than 200"});
        return;
    }
    auto report = parse_load_report(watched.body);
    if (!report)
    {
        send_failure(state, server, std::move(report).error());
        return;
    }
    add(state.counts, counter::load_reports);
    report.value().server = server;
    send(state.owner, std::move(report).value());
}

void abandon_report(backend_state& state, server_id const& server,
                    watched_server& watched, error cause)
{
    http::close(*state.client, watched.request_id);
    clear_request(state, watched);
    send_failure(state, server, std::move(cause));
}

void append_to_body(backend_state& state, server_id const& server,
                    watched_server& watched, std::string const& bytes)
{
    watched.body += bytes;
    if (watched.body.size() > max_report_bytes)
        abandon_report(
            state, server, watched,
            {error_kind::server_protocol, "load report is too long"});
}

} // namespace

void poll_load_reports(backend_state& state, time_point at)
{
    for (auto& [server, watched] : state.watched_servers)
    {
        if (watched.request_id != 0 &&
            at - watched.requested_at >= state.options.report_timeout)
            abandon_report(
                state, server, watched,
                {error_kind::server_silent, "load report timed out"});
        if (watched.request_id == 0 && watched.next_report_at <= at)
            request_report(state, server, watched, at);
    }
}

bool handle_report_event(backend_state& state, http::client_event const& event)
{
    auto const id = std::visit([](auto const& e) { return e.id; }, event);
    auto const request = state.report_requests.find(id);
    if (request == state.report_requests.end())
        return false;
    auto const server = request->second;
    auto& watched = state.watched_servers.at(server);
    if (auto const* head = std::get_if<http::response_head>(&event))
        watched.status = head->status;
    if (auto const* chunk = std::get_if<http::response_bytes>(&event))
        append_to_body(state, server, watched, chunk->bytes);
    if (std::holds_alternative<http::response_end>(event))
    {
        clear_request(state, watched);
        finish_report(state, server, watched);
    }
    if (auto const* failed = std::get_if<http::response_failed>(&event))
    {
        clear_request(state, watched);
        send_failure(state, server, failed->cause);
    }
    return true;
}

void stop_watching(backend_state& state, server_id const& server)
{
    auto const found = state.watched_servers.find(server);
    if (found == state.watched_servers.end())
        return;
    if (found->second.request_id != 0)
    {
        http::close(*state.client, found->second.request_id);
        state.report_requests.erase(found->second.request_id);
    }
    state.watched_servers.erase(found);
}

} // namespace bramleyarch::services
