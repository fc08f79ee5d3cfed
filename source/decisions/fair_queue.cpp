#include "decisions/fair_queue.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bramleyarch::decisions
{

namespace
{

std::size_t size_of(team_queue const& team)
{
    std::size_t total = 0;
    for (auto const& waiting : team.waiting)
        total += waiting.size();
    return total;
}

std::size_t level_of(request_priority priority)
{
    return static_cast<std::size_t>(priority);
}

/// Requests of the same team that go before one of this priority.
std::size_t ahead_in_team(team_queue const& team, request_priority priority)
{
    std::size_t total = 0;
    for (std::size_t level = 0; level <= level_of(priority); ++level)
        total += team.waiting[level].size();
    return total;
}

double weight_of(team_queue const& team)
{
    return std::max(team.weight, 1U);
}

/// Team whose queue is longest for its weight.
team_queue* longest(fair_queue& queue)
{
    team_queue* found = nullptr;
    double most = 0;
    for (auto& [id, team] : queue.teams)
    {
        double const share =
            static_cast<double>(size_of(team)) / weight_of(team);
        if (share <= most)
            continue;
        most = share;
        found = &team;
    }
    return found;
}

/// Takes the request that the team would have served last.
std::optional<queued_request> take_last(fair_queue& queue, team_queue& team)
{
    for (auto level = team.waiting.rbegin(); level != team.waiting.rend();
         ++level)
    {
        if (level->empty())
            continue;
        auto taken = std::move(level->back());
        level->pop_back();
        --queue.size;
        return taken;
    }
    return std::nullopt;
}

std::optional<queued_request> take_first(fair_queue& queue, team_queue& team)
{
    for (auto& level : team.waiting)
    {
        if (level.empty())
            continue;
        auto taken = std::move(level.front());
        level.pop_front();
        --queue.size;
        return taken;
    }
    return std::nullopt;
}

/// Makes room for a request of `team`. Nothing is displaced when that team
/// itself would be the furthest above its share.
std::optional<queued_request> make_room(fair_queue& queue,
                                        queued_request const& request)
{
    auto* above = longest(queue);
    if (!above)
        return std::nullopt;
    auto const found = queue.teams.find(request.team);
    std::size_t const own =
        found == queue.teams.end() ? 0 : size_of(found->second);
    double const own_share =
        static_cast<double>(own + 1) / std::max(request.weight, 1U);
    double const their_share =
        static_cast<double>(size_of(*above)) / weight_of(*above);
    if (own_share >= their_share)
        return std::nullopt;
    return take_last(queue, *above);
}

/// Key of the queue that the request joins: all share one when not fair.
team_id queue_key(fair_queue const& queue, queued_request const& request)
{
    return queue.options.fair ? request.team : team_id{};
}

void append(fair_queue& queue, queued_request request)
{
    auto& team = queue.teams[queue_key(queue, request)];
    if (size_of(team) == 0)
        team.next_start = std::max(team.next_start, queue.virtual_time);
    team.weight = request.weight;
    auto const level = queue.options.fair ? level_of(request.priority) : 0;
    team.waiting[level].push_back(std::move(request));
    ++queue.size;
}

void drop_empty_teams(fair_queue& queue)
{
    // A team that is not behind virtual time has nothing to be remembered.
    std::erase_if(queue.teams,
                  [&queue](auto const& entry)
                  {
                      return size_of(entry.second) == 0 &&
                             entry.second.next_start <= queue.virtual_time;
                  });
}

template <class Predicate>
std::vector<queued_request> take_if(fair_queue& queue, Predicate matches)
{
    std::vector<queued_request> taken;
    for (auto& [id, team] : queue.teams)
    {
        for (auto& level : team.waiting)
        {
            auto const rest = std::stable_partition(level.begin(), level.end(),
                                                    [&](auto const& r)
                                                    { return !matches(r); });
            std::move(rest, level.end(), std::back_inserter(taken));
            level.erase(rest, level.end());
        }
    }
    queue.size -= taken.size();
    drop_empty_teams(queue);
    return taken;
}

} // namespace

std::size_t requests_ahead(fair_queue const& queue,
                           queued_request const& request)
{
    if (!queue.options.fair)
        return queue.size;
    auto const own = queue.teams.find(request.team);
    std::size_t const own_ahead =
        own == queue.teams.end() ? 0
                                 : ahead_in_team(own->second, request.priority);
    double const turns =
        static_cast<double>(own_ahead + 1) / std::max(request.weight, 1U);
    std::size_t ahead = own_ahead;
    for (auto const& [id, team] : queue.teams)
    {
        if (id == request.team)
            continue;
        auto const served =
            static_cast<std::size_t>(std::ceil(turns * weight_of(team)));
        ahead += std::min(size_of(team), served);
    }
    return ahead;
}

duration expected_wait(fair_queue const& queue, queued_request const& request,
                       service_rate const& rate)
{
    auto const ahead = static_cast<double>(requests_ahead(queue, request) + 1);
    auto const each = static_cast<double>(rate.mean_service_time.count()) /
                      std::max(rate.limit, 1U);
    return duration{static_cast<std::int64_t>(ahead * each)};
}

enqueue_outcome enqueue(fair_queue& queue, queued_request request,
                        service_rate const& rate, time_point at)
{
    if (at + expected_wait(queue, request, rate) > request.deadline)
        return {.result = enqueue_result::misses_deadline};
    enqueue_outcome outcome;
    if (queue.size >= queue.options.capacity)
    {
        if (queue.options.fair)
            outcome.displaced = make_room(queue, request);
        if (!outcome.displaced)
            return {.result = enqueue_result::full};
    }
    append(queue, std::move(request));
    return outcome;
}

std::optional<queued_request> dequeue(fair_queue& queue)
{
    team_queue* next = nullptr;
    for (auto& [id, team] : queue.teams)
    {
        if (size_of(team) == 0)
            continue;
        if (!next || team.next_start < next->next_start)
            next = &team;
    }
    if (!next)
        return std::nullopt;
    queue.virtual_time = std::max(queue.virtual_time, next->next_start);
    next->next_start += 1 / weight_of(*next);
    auto taken = take_first(queue, *next);
    drop_empty_teams(queue);
    return taken;
}

bool remove_request(fair_queue& queue, attempt_id const& attempt)
{
    return !take_if(queue,
                    [&attempt](auto const& r) { return r.attempt == attempt; })
                .empty();
}

std::vector<queued_request> remove_expired_requests(fair_queue& queue,
                                                    time_point at)
{
    return take_if(queue, [at](auto const& r) { return r.deadline <= at; });
}

std::vector<queued_request> remove_all_requests(fair_queue& queue)
{
    return take_if(queue, [](auto const&) { return true; });
}

} // namespace bramleyarch::decisions
