#include "decisions/rollout_versions.hpp"

namespace bramleyarch::decisions
{

namespace
{

using config::rollout_state;

/// A status that does not name its order belongs to the newest order of the
/// version that was in force when the status was written.
bool belongs_to(config::rollout_status const& status,
                config::rollout_order const& order)
{
    if (status.order != 0)
        return status.order == order.changed;
    return status.to_version == order.to_version &&
           status.changed > order.changed;
}

/// Returns whether the status is one of an order newer than the one in force.
bool is_newer(config::rollout_status const& status,
              config::rollout_order const& order)
{
    return status.order > order.changed;
}

} // namespace

bool is_status_of_order(service_versions const& versions)
{
    return versions.order && versions.status &&
           belongs_to(*versions.status, *versions.order);
}

rollout_state state_of_order(service_versions const& versions)
{
    return is_status_of_order(versions) ? versions.status->state
                                        : rollout_state::running;
}

void apply_order(service_versions& versions,
                 std::optional<config::rollout_order> const& order)
{
    auto const& former = versions.order;
    bool const is_replaced =
        former && (!order || order->changed != former->changed);
    if (is_replaced && state_of_order(versions) != rollout_state::succeeded)
        versions.barred.insert(former->to_version);
    versions.order = order;
    if (!order)
        return;
    versions.barred.erase(order->to_version);
    versions.held.erase(order->to_version);
}

void apply_status(service_versions& versions,
                  config::rollout_status const& status)
{
    auto const& known = versions.status;
    if (known && known->order == status.order &&
        known->to_version == status.to_version &&
        known->state != rollout_state::running && status.order != 0)
        return;
    if (known && known->order > status.order && status.order != 0)
        return;
    versions.status = status;
}

void note_version(service_versions& versions, std::string const& version,
                  revision entry, bool is_first, time_point at)
{
    bool const is_new_version =
        versions.order && versions.order->to_version == version;
    if (is_new_version || versions.familiar.contains(version) ||
        versions.held.contains(version))
        return;
    if (is_first || versions.familiar.empty())
        versions.familiar.insert(version);
    else
        versions.held[version] = {.entry = entry, .seen_at = at};
}

void release_held_versions(service_versions& versions,
                           revision records_revision, time_point at)
{
    std::erase_if(versions.held,
                  [&](auto const& entry)
                  {
                      auto const& [version, held] = entry;
                      bool const is_over =
                          records_revision >= held.entry ||
                          at - held.seen_at >= versions.options.max_hold;
                      if (is_over)
                          versions.familiar.insert(version);
                      return is_over;
                  });
}

version_use allows_version(service_versions const& versions,
                           std::string const& version)
{
    auto const& [order, status] = std::pair{versions.order, versions.status};
    if (status && (!order || is_newer(*status, *order)))
    {
        // The order of the status was withdrawn, or is not known yet.
        bool const is_named = status->to_version == version;
        if (is_named && status->state != rollout_state::succeeded)
            return version_use::barred;
        if (is_named)
            return version_use::allowed;
        if (order && status->state == rollout_state::succeeded)
            return version_use::barred;
    }
    if (order && order->to_version == version)
    {
        switch (state_of_order(versions))
        {
        case rollout_state::running:
            return version_use::new_version;
        case rollout_state::succeeded:
            return version_use::allowed;
        case rollout_state::rolled_back:
            return version_use::barred;
        }
    }
    if (order && state_of_order(versions) == rollout_state::succeeded)
        return version_use::barred;
    if (versions.barred.contains(version))
        return version_use::barred;
    return versions.held.contains(version) ? version_use::held
                                           : version_use::allowed;
}

} // namespace bramleyarch::decisions
