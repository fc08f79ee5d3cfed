/// Watches of keys: re-opened from the last revision when they end, break or
/// stay silent.
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
    /// A watch that brings nothing for this long is opened anew.
    duration silence_limit = std::chrono::seconds{20};
    duration min_reopen_delay = std::chrono::milliseconds{500};
    duration max_reopen_delay = std::chrono::seconds{5};
};

struct watch
{
    std::string key;
    std::string range_end;
    std::function<void(etcd::kv_entry)> changed;
    std::int64_t next_revision = 0; ///< To watch from; 0: from now on.
    std::uint64_t request = 0;      ///< Open HTTP request; 0: none.
    time_point heard_at{};
    time_point reopen_at{};
    std::uint32_t failures = 0; ///< In a row.
    etcd::watch_decoder decoder;
};

struct watch_table
{
    watch_options options;
    std::map<std::string, watch> watches;
};

void add_watch(watch_table& table, call_table& calls, watch added,
               time_point at);

void remove_watch(watch_table& table, call_table& calls,
                  std::string const& key);

/// Handles an event of a watch; others are ignored.
void handle_watch_event(watch_table& table, call_table& calls,
                        http::client_event const& event, time_point at);

/// Opens the watches that are due.
void tick_watches(watch_table& table, call_table& calls, time_point at);

} // namespace bramleyarch::services
