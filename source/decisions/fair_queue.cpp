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

/// Returns the number of the team's requests that are served before a new one
/// of this priority.
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

/// Returns the team with the most requests in proportion to its weight, or null
/// if no request waits.
team_queue* find_largest_share(fair_queue& queue)
{
    team_queue* largest = nullptr;
    double largest_share = 0;
    for (auto& [id, team] : queue.teams)
    {
        double const share =
            static_cast<double>(size_of(team)) / weight_of(team);
        if (share <= largest_share)
            continue;
        largest_share = share;
        largest = &team;
    }
    return largest;
}

/// Removes the request that the team would have served last.
std::optional<queued_request> pop_last(fair_queue& queue, team_queue& team)
{
    for (auto level = team.waiting.rbegin(); level != team.waiting.rend();
         ++level)
    {
        if (level->empty())
            continue;
        auto request = std::move(level->back());
        level->pop_back();
        --queue.size;
        return request;
    }
    return std::nullopt;
}

/// Removes the request that the team serves next.
std::optional<queued_request> pop_first(fair_queue& queue, team_queue& team)
{
    for (auto& level : team.waiting)
    {
        if (level.empty())
            continue;
        auto request = std::move(level.front());
        level.pop_front();
        --queue.size;
        return request;
    }
    return std::nullopt;
}

/// Displaces the last request of the team that is furthest above its share.
/// Displaces none if the team of `request` would be that team.
std::optional<queued_request> displace_for(fair_queue& queue,
                                           queued_request const& request)
{
    auto* largest = find_largest_share(queue);
    if (!largest)
        return std::nullopt;
    auto const found = queue.teams.find(request.team);
    std::size_t const own =
        found == queue.teams.end() ? 0 : size_of(found->second);
    double const own_share =
        static_cast<double>(own + 1) / std::max(request.weight, 1U);
    double const largest_share =
        static_cast<double>(size_of(*largest)) / weight_of(*largest);
    if (own_share >= largest_share)
        return std::nullopt;
    return pop_last(queue, *largest);
}

/// Returns the team whose queue the request joins. All requests share one queue
/// if the queue is not fair.
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

/// Removes teams without requests, except those whose next request must start
/// later than the current virtual time because of what they were served.
void remove_idle_teams(fair_queue& queue)
{
    std::erase_if(queue.teams,
                  [&queue](auto const& entry)
                  {
                      return size_of(entry.second) == 0 &&
                             entry.second.next_start <= queue.virtual_time;
                  });
}

template <class Predicate>
std::vector<queued_request> extract_if(fair_queue& queue, Predicate matches)
{
    std::vector<queued_request> removed;
    for (auto& [id, team] : queue.teams)
    {
        for (auto& level : team.waiting)
        {
            auto const rest = std::stable_partition(
                level.begin(), level.end(),
                [&](auto const& request) { return !matches(request); });
            std::move(rest, level.end(), std::back_inserter(removed));
            level.erase(rest, level.end());
        }
    }
    queue.size -= removed.size();
    remove_idle_teams(queue);
    return removed;
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
    // Virtual time until the request is served. In it, every other team is
    // served as many requests as its weight allows.
    double const virtual_wait =
        static_cast<double>(own_ahead + 1) / std::max(request.weight, 1U);
    std::size_t ahead = own_ahead;
    for (auto const& [id, team] : queue.teams)
    {
        if (id == request.team)
            continue;
        auto const served =
            static_cast<std::size_t>(std::ceil(virtual_wait * weight_of(team)));
        ahead += std::min(size_of(team), served);
    }
    return ahead;
}

duration expected_wait(fair_queue const& queue, queued_request const& request,
                       service_rate const& rate)
{
    auto const ahead = static_cast<double>(requests_ahead(queue, request) + 1);
    auto const per_request =
        static_cast<double>(rate.mean_service_time.count()) /
        std::max(rate.limit, 1U);
    return duration{static_cast<std::int64_t>(ahead * per_request)};
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
            outcome.displaced = displace_for(queue, request);
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
    auto request = pop_first(queue, *next);
    remove_idle_teams(queue);
    return request;
}

bool remove_request(fair_queue& queue, attempt_id const& attempt)
{
    return !extract_if(queue, [&attempt](auto const& request)
                       { return request.attempt == attempt; })
                .empty();
}

std::vector<queued_request> remove_expired_requests(fair_queue& queue,
                                                    time_point at)
{
    return extract_if(queue, [at](auto const& request)
                      { return request.deadline <= at; });
}

std::vector<queued_request> remove_all_requests(fair_queue& queue)
{
    return extract_if(queue, [](auto const&) { return true; });
}

} // namespace bramleyarch::decisions
