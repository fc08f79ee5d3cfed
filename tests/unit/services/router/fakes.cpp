#include "fleet.hpp"

#include "services/messages/names.hpp"

#include <algorithm>

namespace bramleyarch::test
{

namespace
{

using namespace services;
using namespace std::chrono_literals;

/// State of every fake: the world and the router that it belongs to.
struct fake
{
    fleet* world = nullptr;
    std::size_t router = 0;
};

template <class Message>
using receiver = void (*)(fake&, kernel::context<Message>&, Message);

template <class Message>
void add_fake(fleet& f, std::size_t index, service_name name,
              receiver<Message> receive)
{
    f.routers[index].run->add(
        kernel::service<fake, Message>{.name = std::string{to_name(name)},
                                       .state = {.world = &f, .router = index},
                                       .receive = receive});
}

template <class Value>
void tell_owner(fake const& self, Value value)
{
    tell<owner_message>(self.world->routers[self.router], service_name::owner,
                        std::move(value));
}

bool is_open(fake const& self, attempt_id const& id)
{
    return self.world->open.contains(id);
}

void close_one(fleet& f, attempt_id const& id, error_kind kind, bool sent)
{
    auto const found = f.open.find(id);
    if (found == f.open.end())
        return;
    auto const open = found->second;
    f.open.erase(found);
    --f.servers[open.server].running;
    tell<owner_message>(
        f.routers[open.router], service_name::owner,
        backend_failed{.attempt = id, .cause = {kind, "fake"}, .sent = sent});
}

/// Highest load of the server within the age of any report of it.
std::uint32_t highest_lately(fleet const& f, fake_server const& server)
{
    constexpr duration publishing = 252ms;
    auto const oldest = f.at - f.digest_delay - publishing;
    std::uint32_t highest = server.running;
    for (auto s = server.history.rbegin(); s != server.history.rend(); ++s)
    {
        highest = std::max(highest, s->second);
        if (s->first < oldest)
            break;
    }
    return highest;
}

/// Compares the server's load with the mean of the warm servers, now and as
/// the owner may know it at most.
void check_bound(fleet& f, server_id const& server)
{
    double total = 0;
    double highest = 0;
    double count = 0;
    for (auto const& [id, s] : f.servers)
    {
        if (s.cold || s.refuses)
            continue;
        total += s.running;
        highest += highest_lately(f, s);
        ++count;
    }
    constexpr double bound = 1.25;
    double const load = f.servers[server].running;
    double const excess = load - (total / count * bound + 1);
    double const excess_known = load - (highest / count * bound + 1);
    f.worst_excess = std::max(f.worst_excess, excess);
    f.worst_excess_known = std::max(f.worst_excess_known, excess_known);
    f.over_bound += excess > 1e-9 ? 1 : 0;
}

void finish(fake self, attempt_id id)
{
    auto& f = *self.world;
    auto const found = f.open.find(id);
    if (found == f.open.end())
        return;
    auto& server = f.servers[found->second.server];
    f.open.erase(found);
    --server.running;
    // Answers that it still bore from before do not warm it.
    server.answered += f.at >= server.bears_until ? 1 : 0;
    if (server.answered + 1 >= server.capacity)
        server.cold = false;
    tell_owner(self, backend_end{id});
}

/// Part `index` of the answer that begins at `offset`.
std::string part_of(fleet const& f, int index, std::uint64_t offset)
{
    std::uint64_t const begin = index * f.part_size;
    std::string const whole(f.part_size, static_cast<char>('a' + index % 26));
    return offset <= begin ? whole
                           : whole.substr(std::min<std::uint64_t>(
                                 offset - begin, f.part_size));
}

std::vector<header_field> head_fields(std::uint64_t offset)
{
    std::vector<header_field> fields{{"x-resumable", "1"}};
    if (offset > 0)
        fields.push_back({"x-resume-offset", std::to_string(offset)});
    return fields;
}

void answer(fake self, attempt_id id, duration service_time,
            std::uint64_t offset, bool cold)
{
    constexpr int cold_factor = 10;
    auto& f = *self.world;
    auto const first = service_time / 4 * (cold ? cold_factor : 1);
    later(f, first,
          [self, id, offset]
          {
              if (is_open(self, id))
                  tell_owner(self,
                             backend_head{.attempt = id,
                                          .status = 200,
                                          .headers = head_fields(offset)});
          });
    auto const rest = service_time - service_time / 4;
    for (int i = 0; i < f.answer_parts; ++i)
    {
        auto part = part_of(f, i, offset);
        if (part.empty())
            continue;
        later(f, first + rest * (i + 1) / (f.answer_parts + 1),
              [self, id, part]
              {
                  if (is_open(self, id))
                      tell_owner(self, backend_chunk{id, part});
              });
    }
    later(f, first + rest, [self, id] { finish(self, id); });
}

std::uint64_t offset_of(dispatch const& asked)
{
    for (auto const& field : asked.headers)
    {
        if (field.name == "x-resume-offset")
            return std::stoull(field.value);
    }
    return 0;
}

/// Requests in flight that the server bears now.
std::uint32_t bearable(fleet const& f, fake_server const& server)
{
    if (server.cold && f.at >= server.bears_until)
        return 1 + server.answered;
    return server.bears;
}

void take_dispatch(fake& self, dispatch const& asked)
{
    auto& f = *self.world;
    auto& server = f.servers[asked.server];
    ++f.dispatched;
    if (server.refuses)
    {
        later(f, 1ms,
              [self, id = asked.attempt]
              {
                  tell_owner(
                      self,
                      backend_failed{
                          .attempt = id,
                          .cause = {error_kind::server_connect_failed, "fake"},
                          .sent = false});
              });
        return;
    }
    ++server.running;
    server.most = std::max(server.most, server.running);
    server.ran.push_back(asked.attempt.request);
    auto const body = asked.body ? std::stoull(*asked.body) : 0;
    f.open[asked.attempt] = {.server = asked.server, .router = self.router};
    if (!server.cold)
        check_bound(f, asked.server);
    tell_owner(self, backend_send_started{asked.attempt});
    bool const overloaded = server.running > bearable(f, server);
    if (overloaded || (f.poison != 0 && body == f.poison))
    {
        ++server.fell_over;
        later(f, 1ms, [&f, id = asked.server] { restart_server(f, id); });
        return;
    }
    std::uniform_real_distribution<double> spread{0.5, 1.5};
    auto const time = duration{static_cast<std::int64_t>(
        static_cast<double>(server.service_time.count()) * spread(f.random))};
    answer(self, asked.attempt, time, offset_of(asked), server.cold);
}

/// The report shows the server as it was `report_lag` ago.
void report_later(fake self, server_id id, duration interval)
{
    auto& f = *self.world;
    auto const& server = f.servers[id];
    server_load_report const seen{
        .server = id,
        .server_incarnation = server.started,
        .running = server.running,
        .cold = server.cold && server.reports_cold,
        .age_ms = static_cast<std::uint32_t>(to_ms(f.report_lag))};
    later(f, f.report_lag, [self, seen] { tell_owner(self, seen); });
    later(f, interval,
          [self, id, interval] { report_later(self, id, interval); });
}

void receive_backend(fake& self, kernel::context<backend_message>&,
                     backend_message message)
{
    if (auto const* asked = std::get_if<dispatch>(&message))
        take_dispatch(self, *asked);
    else if (auto const* abort = std::get_if<abort_attempt>(&message))
    {
        auto& f = *self.world;
        f.aborted.insert(abort->attempt);
        auto const found = f.open.find(abort->attempt);
        if (found == f.open.end())
            return;
        --f.servers[found->second.server].running;
        f.open.erase(found);
    }
    else if (auto const* watch = std::get_if<watch_server>(&message))
        report_later(self, watch->server, watch->interval);
}

std::size_t index_of(fleet const& f, router_id const& id)
{
    for (std::size_t i = 0; i < f.routers.size(); ++i)
    {
        if (f.routers[i].id == id)
            return i;
    }
    return 0;
}

void receive_link(fake& self, kernel::context<link_message>&,
                  link_message message)
{
    auto& f = *self.world;
    auto const from = f.routers[self.router].id;
    if (auto const* asked = std::get_if<send_owner_request>(&message))
    {
        auto const to = index_of(f, asked->to);
        later(f, f.link_delay,
              [&f, to, from, request = asked->request]
              {
                  tell<owner_message>(f.routers[to], service_name::owner,
                                      owner_request_received{from, request});
              });
    }
    else if (auto const* reply = std::get_if<send_owner_reply>(&message))
    {
        auto const to = index_of(f, reply->to);
        later(f, f.link_delay,
              [&f, to, from, answer = reply->reply]
              {
                  tell<routing_message>(f.routers[to], service_name::routing,
                                        owner_reply_received{from, answer});
              });
    }
}

void receive_members(fake& self, kernel::context<members_message>&,
                     members_message message)
{
    auto& f = *self.world;
    for (std::size_t to = 0; to < f.routers.size(); ++to)
    {
        if (to == self.router)
            continue;
        auto const from = f.routers[self.router].id;
        if (auto const* loads = std::get_if<loads_changed>(&message))
            later(f, f.digest_delay,
                  [&f, to, changed = *loads] {
                      tell<routing_message>(f.routers[to],
                                            service_name::routing, changed);
                  });
        else if (auto const* demand =
                     std::get_if<local_demand_report>(&message))
            later(f, f.digest_delay,
                  [&f, to, from, seen = demand->demand]
                  {
                      tell<routing_message>(f.routers[to],
                                            service_name::routing,
                                            demand_changed{from, seen});
                  });
        else if (auto const* notice = std::get_if<quarantine_update>(&message))
            later(f, f.link_delay,
                  [&f, to, seen = *notice] {
                      tell<routing_message>(f.routers[to],
                                            service_name::routing, seen);
                  });
    }
}

void receive_claims(fake& self, kernel::context<claims_message>&,
                    claims_message message)
{
    auto& f = *self.world;
    if (auto const* claim = std::get_if<claim_key>(&message))
    {
        ++f.claims_made;
        later(f, f.claim_delay,
              [self, id = claim->attempt]
              {
                  tell_owner(self, claim_result{.attempt = id,
                                                .state = self.world->claims,
                                                .recorded = outcome::answered});
              });
    }
    else if (auto const* release = std::get_if<release_key>(&message))
    {
        ++f.releases;
        later(f, f.claim_delay,
              [self, id = release->attempt] {
                  tell_owner(self,
                             release_result{id, self.world->release_confirmed});
              });
    }
    else if (auto const* record = std::get_if<record_outcome>(&message))
        ++f.outcomes_recorded[record->attempt];
}

void receive_timeline(fake& self, kernel::context<timeline_message>&,
                      timeline_message message)
{
    if (auto* recorded = std::get_if<record_event>(&message))
        self.world->events.push_back(std::move(recorded->new_event));
}

void receive_metrics(fake& self, kernel::context<metrics_message>&,
                     metrics_message message)
{
    if (auto const* added = std::get_if<counters_added>(&message))
        merge(self.world->counted, added->increments);
}

} // namespace

void close_attempts(fleet& f, server_id const& server)
{
    std::vector<attempt_id> ids;
    for (auto const& [id, attempt] : f.open)
    {
        if (attempt.server == server)
            ids.push_back(id);
    }
    for (auto const& id : ids)
        close_one(f, id, error_kind::server_closed, true);
}

void add_services(fleet& f, std::size_t index, fleet_options const& options)
{
    auto& run = *f.routers[index].run;
    add_fake<timeline_message>(f, index, service_name::timeline,
                               receive_timeline);
    add_fake<metrics_message>(f, index, service_name::metrics, receive_metrics);
    add_fake<members_message>(f, index, service_name::members, receive_members);
    add_fake<link_message>(f, index, service_name::link, receive_link);
    add_fake<backend_message>(f, index, service_name::backend, receive_backend);
    if (options.claims_service)
        add_fake<claims_message>(f, index, service_name::claims,
                                 receive_claims);
    auto owner = options.owner;
    owner.self = f.routers[index].id;
    owner.seed = index + 1;
    auto routing = options.routing;
    routing.self = f.routers[index].id;
    routing.seed = index + 1;
    run.add(make_owner_service(owner));
    run.add(make_routing_service(routing));
}

} // namespace bramleyarch::test
