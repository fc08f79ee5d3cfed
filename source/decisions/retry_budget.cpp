#include "decisions/retry_budget.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

namespace
{

constexpr std::uint32_t hundredths_per_retry = 100;

retry_bucket& bucket_of(retry_budget& budget, team_id const& team)
{
    auto const initial = budget.options.initial_retries * hundredths_per_retry;
    return budget.teams.try_emplace(team, retry_bucket{initial}).first->second;
}

} // namespace

void add_retry_credit(retry_budget& budget, team_id const& team)
{
    auto& bucket = bucket_of(budget, team);
    auto const max_hundredths =
        budget.options.max_retries * hundredths_per_retry;
    bucket.hundredths =
        std::min(max_hundredths, bucket.hundredths + budget.options.percent);
}

bool acquire_retry(retry_budget& budget, team_id const& team)
{
    auto& bucket = bucket_of(budget, team);
    if (bucket.hundredths < hundredths_per_retry)
        return false;
    bucket.hundredths -= hundredths_per_retry;
    return true;
}

} // namespace bramleyarch::decisions
