#include "fleet.hpp"

#include "services/messages/names.hpp"

#include <algorithm>

namespace bramleyarch::test
{

namespace
{

using namespace services;
using namespace std::chrono_literals;

/// State of every fake service: the fleet and the index of its router.
struct fake_service
{
    test_fleet* fleet = nullptr;
    std::size_t router = 0;
};

template <class Message>
using receiver = void (*)(fake_service&, kernel::context<Message>&, Message);

template <class Message>
void add_fake(test_fleet& fleet, std::size_t index, service_name name,
              receiver<Message> receive)
{
    fleet.routers[index].router_kernel->add(
        kernel::service<fake_service, Message>{
            .name = std::string{to_name(name)},
            .state = {.fleet = &fleet, .router = index},
            .receive = receive});
}

template <class Value>
void send_to_owner(fake_service const& self, Value value)
{
    send_to<owner_message>(self.fleet->routers[self.router],
                           service_name::owner, std::move(value));
}

bool is_open(fake_service const& self, attempt_id const& id)
{
    return self.fleet->open_attempts.contains(id);
}

void close_attempt(test_fleet& fleet, attempt_id const& id, error_kind kind,
                   bool sent)
{
    auto const found = fleet.open_attempts.find(id);
    if (found == fleet.open_attempts.end())
        return;
    auto const closed = found->second;
    fleet.open_attempts.erase(found);
    --fleet.servers[closed.server].running;
    send_to<owner_message>(
        fleet.routers[closed.router], service_name::owner,
        backend_failed{.attempt = id, .cause = {kind, "fake"}, .sent = sent});
}

/// Returns the highest load of the server that a report still in use may show.
std::uint32_t highest_reported_load(test_fleet const& fleet,
                                    fake_server const& server)
{
    constexpr duration publishing_delay = 252ms;
    auto const oldest = fleet.now - fleet.digest_delay - publishing_delay;
    std::uint32_t highest = server.running;
    for (auto s = server.load_history.rbegin(); s != server.load_history.rend();
         ++s)
    {
        highest = std::max(highest, s->second);
        if (s->first < oldest)
            break;
    }
    return highest;
}

/// Measures the server's load against the bound for the mean load of the warm
/// servers, and for the highest mean that load reports may show.
void record_bound_excess(test_fleet& fleet, server_id const& server)
{
    double total = 0;
    double highest = 0;
    double count = 0;
    for (auto const& [id, s] : fleet.servers)
    {
        if (s.cold || s.refuses_connections)
            continue;
        total += s.running;
        highest += highest_reported_load(fleet, s);
        ++count;
    }
    constexpr double bound = 1.25;
    double const load = fleet.servers[server].running;
    double const excess = load - (total / count * bound + 1);
    double const excess_reported = load - (highest / count * bound + 1);
    fleet.worst_excess = std::max(fleet.worst_excess, excess);
    fleet.worst_excess_reported =
        std::max(fleet.worst_excess_reported, excess_reported);
    fleet.admissions_over_bound += excess > 1e-9 ? 1 : 0;
}

void finish_attempt(fake_service self, attempt_id id)
{
    auto& fleet = *self.fleet;
    auto const found = fleet.open_attempts.find(id);
    if (found == fleet.open_attempts.end())
        return;
    auto& server = fleet.servers[found->second.server];
    fleet.open_attempts.erase(found);
    --server.running;
    // Answers before the cold limit applies do not make the server warm.
    server.answered += fleet.now >= server.cold_limit_from ? 1 : 0;
    if (server.answered + 1 >= server.capacity)
        server.cold = false;
    send_to_owner(self, backend_end{id});
}

/// Returns chunk `index` of an answer that begins at byte `offset`, or an empty
/// string if the chunk lies before it.
std::string make_chunk(test_fleet const& fleet, int index, std::uint64_t offset)
{
    std::uint64_t const begin = index * fleet.chunk_bytes;
    std::string const chunk(fleet.chunk_bytes,
                            static_cast<char>('a' + index % 26));
    return offset <= begin ? chunk
                           : chunk.substr(std::min<std::uint64_t>(
                                 offset - begin, fleet.chunk_bytes));
}

std::vector<header_field> head_fields(std::uint64_t offset)
{
    std::vector<header_field> fields{{"x-resumable", "1"}};
    if (offset > 0)
        fields.push_back({"x-resume-offset", std::to_string(offset)});
    return fields;
}

void schedule_answer(fake_service self, attempt_id id, duration service_time,
                     std::uint64_t offset, bool cold)
{
    constexpr int cold_factor = 10;
    auto& fleet = *self.fleet;
    auto const first = service_time / 4 * (cold ? cold_factor : 1);
    schedule(fleet, first,
             [self, id, offset]
             {
                 if (is_open(self, id))
                     send_to_owner(
                         self, backend_head{.attempt = id,
                                            .status = 200,
                                            .headers = head_fields(offset)});
             });
    auto const rest = service_time - service_time / 4;
    for (int i = 0; i < fleet.answer_chunks; ++i)
    {
        auto chunk = make_chunk(fleet, i, offset);
        if (chunk.empty())
            continue;
        schedule(fleet, first + rest * (i + 1) / (fleet.answer_chunks + 1),
                 [self, id, chunk]
                 {
                     if (is_open(self, id))
                         send_to_owner(self, backend_chunk{id, chunk});
                 });
    }
    schedule(fleet, first + rest, [self, id] { finish_attempt(self, id); });
}

std::uint64_t resume_offset_of(dispatch const& received)
{
    for (auto const& field : received.headers)
    {
        if (field.name == "x-resume-offset")
            return std::stoull(field.value);
    }
    return 0;
}

/// Returns how many requests in flight the server handles now without a crash.
std::uint32_t current_max_in_flight(test_fleet const& fleet,
                                    fake_server const& server)
{
    if (server.cold && fleet.now >= server.cold_limit_from)
        return 1 + server.answered;
    return server.max_in_flight;
}

void handle_dispatch(fake_service& self, dispatch const& received)
{
    auto& fleet = *self.fleet;
    auto& server = fleet.servers[received.server];
    ++fleet.dispatched;
    if (server.refuses_connections)
    {
        schedule(fleet, 1ms,
                 [self, id = received.attempt]
                 {
                     send_to_owner(
                         self, backend_failed{
                                   .attempt = id,
                                   .cause = {error_kind::server_connect_failed,
                                             "fake"},
                                   .sent = false});
                 });
        return;
    }
    ++server.running;
    server.max_running = std::max(server.max_running, server.running);
    server.received.push_back(received.attempt.request);
    auto const body = received.body ? std::stoull(*received.body) : 0;
    fleet.open_attempts[received.attempt] = {.server = received.server,
                                             .router = self.router};
    if (!server.cold)
        record_bound_excess(fleet, received.server);
    send_to_owner(self, backend_send_started{received.attempt});
    bool const overloaded =
        server.running > current_max_in_flight(fleet, server);
    if (overloaded || (fleet.crashing_body != 0 && body == fleet.crashing_body))
    {
        ++server.crashes;
        schedule(fleet, 1ms,
                 [&fleet, id = received.server] { restart_server(fleet, id); });
        return;
    }
    std::uniform_real_distribution<double> time_factor{0.5, 1.5};
    auto const service_time = duration{static_cast<std::int64_t>(
        static_cast<double>(server.service_time.count()) *
        time_factor(fleet.random))};
    schedule_answer(self, received.attempt, service_time,
                    resume_offset_of(received), server.cold);
}

/// Reports the load at every interval; each report arrives `report_lag` late.
void schedule_reports(fake_service self, server_id id, duration interval)
{
    auto& fleet = *self.fleet;
    auto const& server = fleet.servers[id];
    server_load_report const report{
        .server = id,
        .server_incarnation = server.incarnation,
        .running = server.running,
        .cold = server.cold && server.reports_cold,
        .age_ms = static_cast<std::uint32_t>(to_ms(fleet.report_lag))};
    schedule(fleet, fleet.report_lag,
             [self, report] { send_to_owner(self, report); });
    schedule(fleet, interval,
             [self, id, interval] { schedule_reports(self, id, interval); });
}

void handle_backend_message(fake_service& self,
                            kernel::context<backend_message>&,
                            backend_message message)
{
    if (auto const* received = std::get_if<dispatch>(&message))
        handle_dispatch(self, *received);
    else if (auto const* abort = std::get_if<abort_attempt>(&message))
    {
        auto& fleet = *self.fleet;
        fleet.aborted.insert(abort->attempt);
        auto const found = fleet.open_attempts.find(abort->attempt);
        if (found == fleet.open_attempts.end())
            return;
        --fleet.servers[found->second.server].running;
        fleet.open_attempts.erase(found);
    }
    else if (auto const* watch = std::get_if<watch_server>(&message))
        schedule_reports(self, watch->server, watch->interval);
}

std::size_t index_of(test_fleet const& fleet, router_id const& id)
{
    for (std::size_t i = 0; i < fleet.routers.size(); ++i)
    {
        if (fleet.routers[i].id == id)
            return i;
    }
    return 0;
}

void handle_link_message(fake_service& self, kernel::context<link_message>&,
                         link_message message)
{
    auto& fleet = *self.fleet;
    auto const from = fleet.routers[self.router].id;
    if (auto const* received = std::get_if<send_owner_request>(&message))
    {
        auto const to = index_of(fleet, received->to);
        schedule(fleet, fleet.link_delay,
                 [&fleet, to, from, request = received->request]
                 {
                     send_to<owner_message>(
                         fleet.routers[to], service_name::owner,
                         owner_request_received{from, request});
                 });
    }
    else if (auto const* reply = std::get_if<send_owner_reply>(&message))
    {
        auto const to = index_of(fleet, reply->to);
        schedule(fleet, fleet.link_delay,
                 [&fleet, to, from, answer = reply->reply]
                 {
                     send_to<routing_message>(
                         fleet.routers[to], service_name::routing,
                         owner_reply_received{from, answer});
                 });
    }
}

void handle_members_message(fake_service& self,
                            kernel::context<members_message>&,
                            members_message message)
{
    auto& fleet = *self.fleet;
    for (std::size_t to = 0; to < fleet.routers.size(); ++to)
    {
        if (to == self.router)
            continue;
        auto const from = fleet.routers[self.router].id;
        if (auto const* loads = std::get_if<loads_changed>(&message))
            schedule(fleet, fleet.digest_delay,
                     [&fleet, to, changed = *loads]
                     {
                         send_to<routing_message>(
                             fleet.routers[to], service_name::routing, changed);
                     });
        else if (auto const* demand =
                     std::get_if<local_demand_report>(&message))
            schedule(fleet, fleet.digest_delay,
                     [&fleet, to, from, report = demand->demand]
                     {
                         send_to<routing_message>(fleet.routers[to],
                                                  service_name::routing,
                                                  demand_changed{from, report});
                     });
        else if (auto const* update = std::get_if<quarantine_update>(&message))
            schedule(fleet, fleet.link_delay,
                     [&fleet, to, report = *update]
                     {
                         send_to<routing_message>(
                             fleet.routers[to], service_name::routing, report);
                     });
    }
}

void handle_claims_message(fake_service& self, kernel::context<claims_message>&,
                           claims_message message)
{
    auto& fleet = *self.fleet;
    if (auto const* claim = std::get_if<claim_key>(&message))
    {
        ++fleet.claims_made;
        schedule(fleet, fleet.claim_delay,
                 [self, id = claim->attempt]
                 {
                     send_to_owner(
                         self, claim_result{.attempt = id,
                                            .state = self.fleet->claim_reply,
                                            .recorded = outcome::answered});
                 });
    }
    else if (auto const* release = std::get_if<release_key>(&message))
    {
        ++fleet.releases;
        schedule(fleet, fleet.claim_delay,
                 [self, id = release->attempt] {
                     send_to_owner(
                         self,
                         release_result{id, self.fleet->release_confirmed});
                 });
    }
    else if (auto const* record = std::get_if<record_outcome>(&message))
        ++fleet.outcomes_recorded[record->attempt];
}

void handle_timeline_message(fake_service& self,
                             kernel::context<timeline_message>&,
                             timeline_message message)
{
    if (auto* recorded = std::get_if<record_event>(&message))
        self.fleet->events.push_back(std::move(recorded->new_event));
}

void handle_metrics_message(fake_service& self,
                            kernel::context<metrics_message>&,
                            metrics_message message)
{
    if (auto const* added = std::get_if<counters_added>(&message))
        merge(self.fleet->counters, added->increments);
}

} // namespace

void close_attempts(test_fleet& fleet, server_id const& server)
{
    std::vector<attempt_id> ids;
    for (auto const& [id, attempt] : fleet.open_attempts)
    {
        if (attempt.server == server)
            ids.push_back(id);
    }
    for (auto const& id : ids)
        close_attempt(fleet, id, error_kind::server_closed, true);
}

void add_services(test_fleet& fleet, std::size_t index,
                  fleet_options const& options)
{
    auto& router_kernel = *fleet.routers[index].router_kernel;
    add_fake<timeline_message>(fleet, index, service_name::timeline,
                               handle_timeline_message);
    add_fake<metrics_message>(fleet, index, service_name::metrics,
                              handle_metrics_message);
    add_fake<members_message>(fleet, index, service_name::members,
                              handle_members_message);
    add_fake<link_message>(fleet, index, service_name::link,
                           handle_link_message);
    add_fake<backend_message>(fleet, index, service_name::backend,
                              handle_backend_message);
    if (options.claims_service)
        add_fake<claims_message>(fleet, index, service_name::claims,
                                 handle_claims_message);
    auto owner = options.owner;
    owner.self = fleet.routers[index].id;
    owner.seed = index + 1;
    auto routing = options.routing;
    routing.self = fleet.routers[index].id;
    routing.seed = index + 1;
    router_kernel.add(make_owner_service(owner));
    router_kernel.add(make_routing_service(routing));
}

} // namespace bramleyarch::test
