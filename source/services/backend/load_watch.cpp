#include "services/backend/load_watch.hpp"

#include "services/backend/load_report.hpp"

#include <utility>

namespace bramleyarch::services
{

namespace
{

constexpr std::size_t max_report_bytes = 4096;
constexpr int status_ok = 200;

void report_failed(backend_state& state, server_id const& server, error cause)
{
    add(state.counts, counter::load_reports_failed);
    send(state.owner, server_load_report_failed{.server = server,
                                                .cause = std::move(cause)});
}

/// Ends the open report of `server`; its body stays to be read.
void end_report(backend_state& state, watched_server& watched)
{
    state.reports.erase(watched.open_id);
    watched.open_id = 0;
}

void start_report(backend_state& state, server_id const& server,
                  watched_server& watched, time_point at)
{
    watched.open_id = ++state.last_id;
    watched.opened = at;
    watched.next = at + watched.interval;
    watched.status = 0;
    watched.body.clear();
    state.reports[watched.open_id] = server;
    http::open(*state.client, {.id = watched.open_id,
                               .to = watched.address,
                               .method = "GET",
                               .target = "/load",
                               .connect_limit = state.options.report_limit,
                               .silence_limit = state.options.report_limit});
}

void finish_report(backend_state& state, server_id const& server,
                   watched_server& watched)
{
    if (watched.status != status_ok)
    {
        report_failed(state, server,
                      {error_kind::server_protocol, "status of load report"});
        return;
    }
    auto report = parse_load_report(watched.body);
    if (!report)
    {
        report_failed(state, server, std::move(report).error());
        return;
    }
    add(state.counts, counter::load_reports);
    report.value().server = server;
    send(state.owner, std::move(report).value());
}

void abandon_report(backend_state& state, server_id const& server,
                    watched_server& watched, error cause)
{
    http::close(*state.client, watched.open_id);
    end_report(state, watched);
    report_failed(state, server, std::move(cause));
}

void take_bytes(backend_state& state, server_id const& server,
                watched_server& watched, std::string const& bytes)
{
    watched.body += bytes;
    if (watched.body.size() > max_report_bytes)
        abandon_report(state, server, watched,
                       {error_kind::server_protocol, "load report too long"});
}

} // namespace

void poll_reports(backend_state& state, time_point at)
{
    for (auto& [server, watched] : state.watched)
    {
        if (watched.open_id != 0 &&
            at - watched.opened >= state.options.report_limit)
            abandon_report(state, server, watched,
                           {error_kind::server_silent, "load report"});
        if (watched.open_id == 0 && watched.next <= at)
            start_report(state, server, watched, at);
    }
}

bool handle_report_event(backend_state& state, http::client_event const& event)
{
    auto const id = std::visit([](auto const& e) { return e.id; }, event);
    auto const found = state.reports.find(id);
    if (found == state.reports.end())
        return false;
    auto const server = found->second;
    auto& watched = state.watched.at(server);
    if (auto const* head = std::get_if<http::response_head>(&event))
        watched.status = head->status;
    if (auto const* bytes = std::get_if<http::response_bytes>(&event))
        take_bytes(state, server, watched, bytes->bytes);
    if (std::holds_alternative<http::response_end>(event))
    {
        end_report(state, watched);
        finish_report(state, server, watched);
    }
    if (auto const* failed = std::get_if<http::response_failed>(&event))
    {
        end_report(state, watched);
        report_failed(state, server, failed->cause);
    }
    return true;
}

void unwatch(backend_state& state, server_id const& server)
{
    auto const found = state.watched.find(server);
    if (found == state.watched.end())
        return;
    if (found->second.open_id != 0)
    {
        http::close(*state.client, found->second.open_id);
        state.reports.erase(found->second.open_id);
    }
    state.watched.erase(found);
}

} // namespace bramleyarch::services
