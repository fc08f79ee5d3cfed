/// Watches of keys. A watch that ends, fails or stays silent is reopened after
/// the last revision that it received.
#pragma once

#include "etcd/watch_decoder.hpp"
#include "services/platform/calls.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace bramleyarch::services
{

struct watch_options
{
    /// A watch that receives no bytes for this long is reopened.
    duration silence_limit = std::chrono::seconds{20};
    duration min_reopen_delay = std::chrono::milliseconds{500};
    duration max_reopen_delay = std::chrono::seconds{5};
};

struct watch
{
    std::string key;
    std::string range_end;
    std::function<void(etcd::kv_entry)> changed;
    /// Revision to watch from. 0 means the current revision.
    std::int64_t next_revision = 0;
    /// Id of the open HTTP request, or 0 if there is none.
    std::uint64_t request = 0;
    time_point last_received_at{};
    time_point reopen_at{};
    /// Number of consecutive failures.
    std::uint32_t failures = 0;
    etcd::watch_decoder decoder;
};

struct watch_table
{
    watch_options options;
    std::map<std::string, watch> watches;
};

/// Adds a watch and opens it as soon as the call budget allows. It replaces a
/// watch of the same key.
void add_watch(watch_table& table, call_table& calls, watch added,
               time_point at);

void remove_watch(watch_table& table, call_table& calls,
                  std::string const& key);

/// Handles an HTTP event of a watch. Events of other requests are ignored.
void handle_watch_event(watch_table& table, call_table& calls,
                        http::client_event const& event, time_point at);

/// Closes silent watches and opens those that are due.
void tick_watches(watch_table& table, call_table& calls, time_point at);

} // namespace bramleyarch::services
