/// Rollouts as the entry service carries them out.
#pragma once

#include "common/ids.hpp"
#include "common/time.hpp"
#include "decisions/rollout.hpp"
#include "decisions/rollout_versions.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_set>
#include <vector>

namespace bramleyarch::services
{

/// The versions of one service, and its rollout while an order is in force.
struct service_rollout
{
    decisions::service_versions versions;
    std::optional<decisions::rollout> rollout;
    /// Newest order that was ignored, as the rules do not list the service.
    revision ignored_order = 0;
    /// Hashes of the servers of the new version that get the requests of a
    /// canary.
    std::vector<std::uint64_t> canary;
    /// Load up to which a server of the new version gets requests.
    double load_limit = 0;
    /// Parts of prompts that servers have answered, mixed with the hash of the
    /// server, so that times with empty caches are not compared.
    std::unordered_set<std::uint64_t> cached_parts;
};

using service_rollouts = std::map<service_id, service_rollout>;

/// An attempt that counts as evidence on a rollout.
struct rollout_attempt
{
    service_id service;
    revision order = 0;
    decisions::route_side side;
    std::uint64_t server = 0; ///< Hash of the server's id.
    bool comparable = false;  ///< Neither a cold server nor an empty cache.
    bool began = false;       ///< The first byte was counted.
};

} // namespace bramleyarch::services
