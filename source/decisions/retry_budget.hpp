/// Retry budget: bounds retries to a share of the requests of each team.
#pragma once

#include "common/ids.hpp"

#include <cstdint>
#include <unordered_map>

namespace bramleyarch::decisions
{

struct retry_budget_options
{
    std::uint32_t percent = 10;        ///< Retries earned per 100 requests.
    std::uint32_t max_retries = 20;    ///< Most that a team can save up.
    std::uint32_t initial_retries = 2; ///< What a new team starts with.
};

/// Token bucket of one team, in hundredths of a retry.
struct retry_bucket
{
    std::uint32_t hundredths = 0;
};

/// Buckets of all teams seen. Requests fill them, retries empty them.
struct retry_budget
{
    retry_budget_options options;
    std::unordered_map<team_id, retry_bucket> teams;
};

/// Counts a first attempt of `team`.
void add_retry_credit(retry_budget& budget, team_id const& team);

/// Takes one retry; false when the team has none left.
bool acquire_retry(retry_budget& budget, team_id const& team);

} // namespace bramleyarch::decisions
