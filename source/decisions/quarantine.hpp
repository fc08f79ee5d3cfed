/// Quarantine of request bodies that crash backend servers.
///
/// A body becomes a suspect when a server crashes while running it, and is
/// quarantined once it is suspected on two different servers. A suspect may
/// only run alone on its server. A body that did not cause the crash, but ran
/// on the same server at that time, is thus cleared when it completes.
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
    clear,       ///< May run together with others.
    suspect,     ///< May only run alone on its server.
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
    /// Beyond this number, the entry that expires first is removed.
    std::size_t max_bodies = 4096;
};

/// A body that is suspect or quarantined.
struct body_record
{
    body_status status = body_status::suspect;
    server_id first_server; ///< The first server that crashed with it.
    time_point expires_at{};
};

struct quarantine_list
{
    quarantine_options options;
    /// By the fingerprint of the body.
    std::unordered_map<std::uint64_t, body_record> bodies;
};

/// Returns the status of a body. An expired entry counts as clear.
body_status status_of(quarantine_list const& list, std::uint64_t body,
                      time_point at);

/// Records that a server crashed with `body` in flight. Returns the new status
/// of the body.
body_status record_suspect(quarantine_list& list, std::uint64_t body,
                           server_id const& server, time_point at);

/// Clears a suspect that completed. A quarantined body stays quarantined.
/// Returns true if an entry was removed.
bool clear_suspected_body(quarantine_list& list, std::uint64_t body);

/// Merges the status that another router reports for a body that crashed
/// `server`. The report expires after `ttl`. The worse status wins, and a body
/// that is suspected on two different servers becomes quarantined. Returns the
/// new status.
body_status merge_remote_status(quarantine_list& list, std::uint64_t body,
                                body_status status, server_id const& server,
                                duration ttl, time_point at);

/// Removes the entries that have expired at `at`.
void remove_expired_bodies(quarantine_list& list, time_point at);

/// Returns the number of bodies that are quarantined at `at`.
std::size_t count_quarantined(quarantine_list const& list, time_point at);

} // namespace bramleyarch::decisions
