/// Retry budget: limits the retries of each team to a fraction of its requests.
#pragma once

#include "common/ids.hpp"

#include <cstdint>
#include <unordered_map>

namespace bramleyarch::decisions
{

struct retry_budget_options
{
    std::uint32_t percent = 10;        ///< Retries allowed per 100 requests.
    std::uint32_t max_retries = 20;    ///< Most retries that a team can save.
    std::uint32_t initial_retries = 2; ///< Retries that a new team has.
};

/// Token bucket of one team.
struct retry_bucket
{
    /// Hundredths of a retry.
    std::uint32_t hundredths = 0;
};

/// Buckets of all teams that have sent requests. Requests fill them and retries
/// empty them.
struct retry_budget
{
    retry_budget_options options;
    std::unordered_map<team_id, retry_bucket> teams;
};

/// Adds the credit for the first attempt of a request to the team's bucket.
void add_retry_credit(retry_budget& budget, team_id const& team);

/// Takes one retry from the team's bucket. Returns false if it has none left.
bool acquire_retry(retry_budget& budget, team_id const& team);

} // namespace bramleyarch::decisions
