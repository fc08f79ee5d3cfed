#include "decisions/memory_budget.hpp"

#include <algorithm>
#include <functional>

namespace bramleyarch::decisions
{

namespace
{

/// Share of the process's memory that is held for callers. The rest is for the
/// process itself, which takes 11 MiB at rest, for messages on their way
/// between services, and for what the allocator can't return to the machine.
constexpr double account_share = 0.4;

/// Fill at which large unfinished requests are not read any more. What is left
/// above is for small requests and for some large ones at a time.
constexpr double short_fill = 0.6;

/// Fill up to which paused requests are read again. What is left above is for
/// new requests.
constexpr double resume_fill = 0.75;

constexpr double exhausted_fill = 0.9;

/// All callers of a deployment may come from few addresses, so that one address
/// is limited only where it leaves the others no room.
constexpr double address_share = 0.85;

/// Share of the budget that unread answers may take if no caller reads.
constexpr double answer_share = 0.25;

/// Longest flight of an answer's bytes; see `services::initial_credit_bytes`.
constexpr std::size_t max_answer_credit = 256U << 10;

/// Part of the budget for the small requests of all connections, which stays
/// below `exhausted_fill` together with `short_fill`.
constexpr double small_requests_share = 0.15;

/// A usual prompt.
constexpr std::size_t max_small_request = 64U << 10;

/// Connection, head and a short body.
constexpr std::size_t min_small_request = 12U << 10;

/// A few events of a stream.
constexpr std::size_t min_answer_credit = 16U << 10;

std::size_t part(std::size_t whole, double share)
{
    return static_cast<std::size_t>(static_cast<double>(whole) * share);
}

} // namespace

memory_budget derive_memory_budget(memory_sources const& sources,
                                   std::size_t max_connections)
{
    auto limit = sources.setting;
    if (limit == 0)
    {
        limit = sources.machine;
        if (sources.address_space > 0 &&
            (limit == 0 || sources.address_space < limit))
            limit = sources.address_space;
    }
    if (limit == 0)
        return {};
    auto const total = part(limit, account_share);
    auto const for_each =
        part(total, answer_share) / std::max<std::size_t>(max_connections, 1);
    return {.total = total,
            .per_address = part(total, address_share),
            .answer_credit = static_cast<std::uint32_t>(
                std::clamp(for_each, min_answer_credit, max_answer_credit))};
}

memory_level level_of(memory_budget const& budget, std::size_t held,
                      std::size_t by_address)
{
    if (held >= part(budget.total, exhausted_fill) ||
        by_address >= budget.per_address)
        return memory_level::exhausted;
    return held >= part(budget.total, short_fill)
               ? memory_level::short_of_memory
               : memory_level::calm;
}

std::size_t small_request_bytes(memory_budget const& budget,
                                std::size_t connections)
{
    return std::clamp(part(budget.total, small_requests_share) /
                          std::max<std::size_t>(connections, 1),
                      min_small_request, max_small_request);
}

std::size_t room_of(memory_budget const& budget, std::size_t held)
{
    auto const limit = part(budget.total, resume_fill);
    return held >= limit ? 0 : limit - held;
}

std::vector<std::uint64_t> choose_stalled(std::vector<waiting_caller> waiting,
                                          std::size_t wanted,
                                          duration stalled_after)
{
    std::erase_if(waiting, [&](waiting_caller const& caller)
                  { return caller.stalled < stalled_after; });
    auto const weight = [](waiting_caller const& caller)
    {
        return static_cast<double>(caller.held) *
               std::chrono::duration<double>{caller.stalled}.count();
    };
    std::ranges::sort(waiting, std::greater{}, weight);
    std::vector<std::uint64_t> chosen;
    std::size_t freed = 0;
    for (auto const& caller : waiting)
    {
        if (freed >= wanted)
            break;
        freed += caller.held;
        chosen.push_back(caller.id);
    }
    return chosen;
}

std::size_t count_resumable(std::span<std::size_t const> needs,
                            std::size_t room, std::size_t reserved,
                            bool is_stuck)
{
    std::size_t count = 0;
    for (auto const need : needs)
    {
        bool const is_first = is_stuck && count == 0 && reserved == 0;
        if (!is_first && reserved + need > room)
            break;
        reserved += need;
        ++count;
    }
    return count;
}

} // namespace bramleyarch::decisions
