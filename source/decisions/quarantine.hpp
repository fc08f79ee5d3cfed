/// Quarantine of request bodies that crash backend servers.
///
/// A body is a suspect when a server dies with it in flight, and is
/// quarantined once it is suspected on two different servers. A suspect may
/// run only alone on its server, so an innocent body that shared a server
/// with the cause clears itself by completing.
#pragma once

#include "common/enum_names.hpp"
#include "common/ids.hpp"
#include "common/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bramleyarch::decisions
{

enum class body_status
{
    clear,       ///< May run beside others.
    suspect,     ///< May run only alone on its server.
    quarantined, ///< Is refused.
};

constexpr auto enum_names(body_status)
{
    using s = body_status;
    using row = enum_name<body_status>;
    return std::array{
        row{s::clear, "clear"},
        row{s::suspect, "suspect"},
        row{s::quarantined, "quarantined"},
    };
}

struct quarantine_options
{
    duration suspect_ttl = std::chrono::minutes{5};
    duration quarantine_ttl = std::chrono::minutes{10};
    std::size_t max_bodies = 4096; ///< Oldest entries are dropped beyond it.
};

/// What is held of one body.
struct suspicion
{
    body_status standing = body_status::suspect;
    server_id first_server;
    time_point expires{};
};

struct quarantine_list
{
    quarantine_options options;
    std::unordered_map<std::uint64_t, suspicion> bodies;
};

/// Standing of a body; expired entries count as clear.
body_status status_of(quarantine_list const& list, std::uint64_t body,
                      time_point at);

/// A server died with `body` in flight. Returns the
/// new standing.
body_status record_suspect(quarantine_list& list, std::uint64_t body,
                           server_id const& server, time_point at);

/// A suspect completed: it is cleared. Quarantined bodies stay.
/// Returns true when an entry was removed.
bool clear_suspected_body(quarantine_list& list, std::uint64_t body);

/// Takes over what another router found out. The worse standing wins.
body_status merge_remote_status(quarantine_list& list, std::uint64_t body,
                                body_status standing, server_id const& server,
                                duration ttl, time_point at);

/// Drops expired entries.
void remove_expired_bodies(quarantine_list& list, time_point at);

/// Number of bodies that are quarantined at `at`.
std::size_t count_quarantined(quarantine_list const& list, time_point at);

} // namespace bramleyarch::decisions
