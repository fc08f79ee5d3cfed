#include "fleet.hpp"

#include "decisions/ranking.hpp"

#include "common/digest.hpp"

#include <algorithm>

namespace bramleyarch::test
{

namespace
{

using namespace std::chrono_literals;

config::document make_config(fleet_options const& options)
{
    config::document made;
    made.version = 1;
    for (int i = 0; i < options.domains; ++i)
        made.domains.push_back({.id = {"domain-" + std::to_string(i)},
                                .region = {"prairie-west"}});
    made.teams = options.teams;
    if (made.teams.empty())
        made.teams.push_back({.id = {"crews"}});
    made.limits.max_candidates = options.max_candidates;
    config::service_config models{.id = {"models"},
                                  .kind = config::service_kind::model,
                                  .path_prefix = "/v1"};
    for (int i = 0; i < options.servers; ++i)
        models.servers.push_back(
            {.id = {"engine-" + std::to_string(i)},
             .domain = {"domain-" + std::to_string(i % options.domains)},
             .address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + i)},
             .capacity = options.capacity,
             .cold_capacity = options.cold_capacity});
    made.services.push_back(std::move(models));
    return made;
}

std::shared_ptr<member_view const> make_view(fleet const& f, std::size_t self,
                                             std::vector<bool> const& live)
{
    auto view = std::make_shared<member_view>();
    view->self = f.routers[self].id;
    view->self_domain = f.routers[self].domain;
    for (std::size_t i = 0; i < f.routers.size(); ++i)
        view->members.push_back(
            {.id = f.routers[i].id,
             .domain = f.routers[i].domain,
             .state = live[i] ? member_state::live : member_state::gone});
    return view;
}

double rate_at(load_options const& options, duration since)
{
    double const part = std::chrono::duration<double>(since) /
                        std::chrono::duration<double>(options.length);
    return options.rate + (options.end_rate - options.rate) * part;
}

std::size_t random_live_router(fleet& f)
{
    std::size_t index = 0;
    do
        index = f.random() % f.routers.size();
    while (f.routers[index].dead);
    return index;
}

/// Takes the averages of the second that ends now.
void close_second(fleet& f)
{
    constexpr double ms_per_s = 1000;
    constexpr double bound = 1.25;
    double total = 0;
    double busiest = 0;
    for (auto const& [id, sum] : f.running_ms)
    {
        total += static_cast<double>(sum) / ms_per_s;
        busiest = std::max(busiest, static_cast<double>(sum) / ms_per_s);
    }
    auto const mean = total / static_cast<double>(f.servers.size());
    f.running_ms.clear();
    if (mean < 1)
        return;
    f.worst_average_excess =
        std::max(f.worst_average_excess, busiest - (mean * bound + 1));
    f.worst_average_ratio = std::max(f.worst_average_ratio, busiest / mean);
}

void note_loads(fleet& f)
{
    constexpr std::size_t most_samples = 2000;
    for (auto& [id, server] : f.servers)
    {
        f.running_ms[id] += server.running;
        auto& history = server.history;
        if (!history.empty() && history.back().second == server.running)
            continue;
        history.emplace_back(f.at, server.running);
        if (history.size() > most_samples)
            history.pop_front();
    }
    if (to_ms(f.at.time_since_epoch()) % 1000 == 0)
        close_second(f);
}

std::size_t random_team(fleet& f, load_options const& options)
{
    std::discrete_distribution<std::size_t> pick(options.shares.begin(),
                                                 options.shares.end());
    return pick(f.random);
}

} // namespace

std::unique_ptr<fleet> make_fleet(fleet_options const& options)
{
    auto f = std::make_unique<fleet>();
    f->config = make_config(options);
    for (auto const& server : f->config.services[0].servers)
        f->servers[server.id] = {.capacity = server.capacity};
    for (int i = 0; i < options.routers; ++i)
        f->routers.push_back(
            {.id = {"router-" + std::to_string(i)},
             .domain = {"domain-" + std::to_string(i % options.domains)},
             .run =
                 std::make_unique<kernel::kernel>(kernel::run_mode::stepped)});
    for (std::size_t i = 0; i < f->routers.size(); ++i)
    {
        add_services(*f, i, options);
        f->routers[i].run->start();
    }
    apply_config(*f);
    show_members(*f, std::vector<bool>(f->routers.size(), true));
    pass_time(*f, 2s);
    return f;
}

void settle(fleet& f)
{
    while (true)
    {
        for (auto& router : f.routers)
        {
            if (!router.dead)
                router.run->run_until_idle();
        }
        if (f.due.empty() || f.due.begin()->first > f.at)
            return;
        auto first = f.due.extract(f.due.begin());
        first.mapped()();
    }
}

void pass_time(fleet& f, duration by)
{
    constexpr duration step = 1ms;
    settle(f);
    for (duration done{}; done < by; done += step)
    {
        f.at += step;
        for (auto& router : f.routers)
        {
            if (!router.dead)
                router.run->advance(step);
        }
        settle(f);
        note_loads(f);
    }
}

void later(fleet& f, duration delay, std::function<void()> what)
{
    f.due.emplace(f.at + delay, std::move(what));
}

request_id submit(fleet& f, std::size_t entry, routed_request request)
{
    request.id = {entry + 1, ++f.last_request};
    if (request.team.empty())
        request.team = f.config.teams[0].id;
    if (request.service.empty())
        request.service = f.config.services[0].id;
    if (request.deadline == time_point{})
        request.deadline = f.at + 10s;
    if (request.kind == request_kind::non_idempotent && !request.key)
        request.key = make_idempotency_key({}, f.random(), f.random());
    if (request.body_fingerprint == 0)
        request.body_fingerprint = f.last_request;
    auto const id = request.id;
    auto& record = f.answers[id];
    record.submitted_at = f.at;
    record.team = request.team;
    record.chat = request.chat;
    auto take = [&f, id](answer_message message)
    {
        auto& answer = f.answers[id];
        if (auto const* head = std::get_if<answer_head>(&message))
        {
            ++answer.heads;
            answer.server = head->server;
        }
        else if (auto const* chunk = std::get_if<answer_chunk>(&message))
        {
            answer.body += chunk->bytes;
            ++answer.chunks;
        }
        else if (auto const* end = std::get_if<answer_end>(&message))
        {
            answer.ended = true;
            answer.answered = end->bytes == answer.body.size() &&
                              end->chunks == answer.chunks;
        }
        else if (auto const* error = std::get_if<answer_error>(&message))
        {
            answer.ended = true;
            answer.error = error->cause.kind;
            answer.known = error->known;
            answer.retry_after = error->retry_after;
        }
        answer.ended_at = f.at;
    };
    tell<services::routing_message>(
        f.routers[entry], services::service_name::routing,
        services::submit_request{std::move(request), std::move(take)});
    return id;
}

void run_load(fleet& f, load_options const& options)
{
    std::uniform_real_distribution<double> unit{0, 1};
    constexpr double steps_per_s = 1000;
    time_point const begin = f.at;
    while (f.at - begin < options.length)
    {
        double expected = rate_at(options, f.at - begin) / steps_per_s;
        for (; expected > 0; expected -= 1)
        {
            if (unit(f.random) >= expected)
                continue;
            auto const team = options.teams[random_team(f, options)];
            submit(f, random_live_router(f),
                   {.team = team,
                    .service = options.service,
                    .kind = options.kind,
                    .chat = 1 + f.random() % options.chats,
                    .deadline = f.at + options.deadline});
        }
        pass_time(f, 1ms);
    }
}

void drain_load(fleet& f, duration limit)
{
    auto const end = f.at + limit;
    auto const open = [&f]
    {
        return std::any_of(f.answers.begin(), f.answers.end(),
                           [](auto const& a) { return !a.second.ended; });
    };
    while (f.at < end && open())
        pass_time(f, 20ms);
}

void show_members_to(fleet& f, std::size_t router,
                     std::vector<bool> const& live)
{
    auto const view = make_view(f, router, live);
    f.routers[router].view = view;
    services::members_changed const changed{view};
    tell<services::routing_message>(f.routers[router],
                                    services::service_name::routing, changed);
    tell<services::owner_message>(f.routers[router],
                                  services::service_name::owner, changed);
}

void show_members(fleet& f, std::vector<bool> const& live)
{
    for (std::size_t i = 0; i < f.routers.size(); ++i)
        show_members_to(f, i, live);
    settle(f);
}

void apply_config(fleet& f)
{
    auto const snapshot = std::make_shared<config::document const>(f.config);
    services::config_changed const changed{snapshot};
    for (auto& router : f.routers)
    {
        tell<services::routing_message>(router, services::service_name::routing,
                                        changed);
        tell<services::owner_message>(router, services::service_name::owner,
                                      changed);
    }
    ++f.config.version;
    settle(f);
}

void kill_router(fleet& f, std::size_t router)
{
    auto& dead = f.routers[router];
    dead.dead = true;
    for (auto& other : f.routers)
    {
        services::link_lost const lost{dead.id};
        tell<services::routing_message>(other, services::service_name::routing,
                                        lost);
        tell<services::owner_message>(other, services::service_name::owner,
                                      lost);
    }
}

std::size_t owner_index(fleet& f, server_id const& server)
{
    for (auto const& router : f.routers)
    {
        if (router.dead)
            continue;
        auto const assigned = decisions::assign_owners(f.config, *router.view);
        auto const owner = decisions::owner_of(assigned, server);
        for (std::size_t i = 0; i < f.routers.size(); ++i)
        {
            if (owner == f.routers[i].id)
                return i;
        }
    }
    return f.routers.size();
}

server_id server_owned_elsewhere(fleet& f, std::size_t entry)
{
    for (auto const& server : f.config.services[0].servers)
    {
        if (owner_index(f, server.id) != entry)
            return server.id;
    }
    return {};
}

std::uint64_t chat_for(fleet& f, server_id const& server)
{
    std::vector<decisions::candidate> candidates;
    for (auto const& s : f.config.services[0].servers)
        candidates.push_back({.id = s.id,
                              .hash = name_hash(s.id.value),
                              .capacity = s.capacity});
    for (std::uint64_t chat = 1;; ++chat)
    {
        auto const order = decisions::rendezvous_order(candidates, chat);
        if (candidates[order[0]].id == server)
            return chat;
    }
}

void forget_skew(fleet& f)
{
    f.worst_excess = 0;
    f.worst_excess_known = 0;
    f.over_bound = 0;
    f.dispatched = 0;
    f.worst_average_excess = 0;
    f.worst_average_ratio = 0;
}

double answered_share(fleet const& f, team_id const& team)
{
    double answered = 0;
    double all = 0;
    for (auto const& [id, answer] : f.answers)
    {
        if (answer.team != team)
            continue;
        ++all;
        answered += answer.answered ? 1 : 0;
    }
    return all > 0 ? answered / all : 0;
}

std::uint64_t count_events(fleet const& f, event_kind kind)
{
    return static_cast<std::uint64_t>(
        std::count_if(f.events.begin(), f.events.end(),
                      [kind](auto const& e) { return e.kind == kind; }));
}

bool explains(fleet const& f, request_id id, event_kind kind,
              std::string_view text)
{
    return std::any_of(f.events.begin(), f.events.end(),
                       [&](auto const& e)
                       {
                           return e.request == id && e.kind == kind &&
                                  e.cause.find(text) != std::string::npos;
                       });
}

std::string expected_body(fleet const& f)
{
    std::string body;
    for (int i = 0; i < f.answer_parts; ++i)
        body += std::string(f.part_size, static_cast<char>('a' + i % 26));
    return body;
}

void restart_server(fleet& f, server_id const& server)
{
    constexpr duration start_time = 600ms;
    auto& s = f.servers[server];
    close_attempts(f, server);
    ++s.started;
    s.cold = true;
    s.answered = 0;
    s.refuses = true;
    later(f, start_time, [&s] { s.refuses = false; });
}

void turn_cold(fleet& f, server_id const& server)
{
    constexpr duration notice = 2s;
    auto& s = f.servers[server];
    s.cold = true;
    s.answered = 0;
    s.bears_until = f.at + notice;
}

} // namespace bramleyarch::test
