/// The calls of a store, apart from their encoding.
#pragma once

#include "common/error.hpp"
#include "decisions/discovery.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bramleyarch::services
{

/// An HTTP call to the store.
struct store_call
{
    std::string method;
    std::string target;
    std::string body; ///< JSON; empty: none.
};

/// Part of a list, or the changes that a watch saw.
struct store_changes
{
    std::vector<decisions::record_change> changes;
    revision as_of = 0;   ///< Watch from here.
    std::string last_key; ///< A list goes on after it.
    bool more = false;    ///< The list has further pages.
};

/// How a store spells its calls and records. Read functions fail with
/// `platform_unavailable` on text that they can't read.
struct store_codec
{
    store_call (*list)(std::string_view after_key) = nullptr;
    result<store_changes> (*read_list)(std::string_view body) = nullptr;
    store_call (*watch)(revision after, duration wait) = nullptr;
    result<store_changes> (*read_watch)(std::string_view body) = nullptr;
    store_call (*grant_lease)(duration ttl) = nullptr;
    result<std::uint64_t> (*read_lease)(std::string_view body) = nullptr;
    store_call (*renew_lease)(std::uint64_t lease) = nullptr;
    store_call (*end_lease)(std::uint64_t lease) = nullptr;
    /// Lists a router under a lease, whatever its key holds.
    store_call (*list_router)(decisions::listed_router const& router,
                              std::uint64_t lease) = nullptr;
    /// What a removed key named.
    decisions::record (*named_by)(std::string_view key) = nullptr;
};

} // namespace bramleyarch::services
