/// Key-value service inside the process, for a single router that runs with
/// no platform. Nothing survives the process, so claims must not be made for
/// keys that are older than it.
#pragma once

#include "kernel/service.hpp"
#include "services/messages/platform.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace bramleyarch::services
{

struct embedded_platform_options
{
    std::size_t max_entries = 1U << 20; ///< Further puts are refused.
};

/// One value and when it lapses.
struct embedded_entry
{
    std::string value;
    std::int64_t lease = 0;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
};

struct embedded_platform_state
{
    embedded_platform_options options;
    std::map<std::string, embedded_entry> entries;
    std::map<std::int64_t, time_point> lease_ends;
    std::int64_t last_lease = 0;
    std::int64_t revision = 0;
};

/// Takes the name of the platform service.
kernel::service<embedded_platform_state, platform_message>
make_embedded_platform_service(embedded_platform_options options);

} // namespace bramleyarch::services
