/// The calls of a store, apart from their encoding.
#pragma once

#include "common/enum_names.hpp"
#include "common/error.hpp"
#include "decisions/discovery.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bramleyarch::services
{

/// Records that are listed and watched together.
enum class record_group
{
    rules,   ///< The operators' rules and domains taken out.
    servers, ///< Backend servers.
    routers, ///< Routers, this one among them.
};

constexpr auto enum_names(record_group)
{
    using g = record_group;
    using row = enum_name<record_group>;
    return std::array{row{g::rules, "rules"}, row{g::servers, "servers"},
                      row{g::routers, "routers"}};
}

/// How old a list may be.
enum class list_consistency
{
    current,
    allow_stale, ///< Some seconds, at a tenth of the price.
};

/// An HTTP call to the store.
struct store_request
{
    std::string method;
    std::string target;
    std::string body; ///< JSON; empty: none.
};

/// Part of a list, or the changes that a watch saw.
struct record_batch
{
    std::vector<decisions::record_change> changes;
    revision as_of = 0;    ///< Watch from here.
    std::string last_key;  ///< A list goes on after it.
    bool has_more = false; ///< The list has further pages.
};

/// How a store spells its calls and records. Read functions fail with
/// `platform_unavailable` on text that they can't read.
struct store_codec
{
    /// Group of a key; `routers` for keys of no concern.
    record_group (*group_of)(std::string_view key) = nullptr;
    store_request (*encode_list)(record_group group, std::string_view after_key,
                                 list_consistency age) = nullptr;
    result<record_batch> (*decode_list)(std::string_view body) = nullptr;
    store_request (*encode_watch)(record_group group, revision after,
                                  duration wait) = nullptr;
    result<record_batch> (*decode_watch)(std::string_view body) = nullptr;
    store_request (*encode_lease_grant)(duration ttl) = nullptr;
    result<std::uint64_t> (*decode_lease_grant)(std::string_view body) =
        nullptr;
    store_request (*encode_lease_renewal)(std::uint64_t lease) = nullptr;
    store_request (*encode_lease_revocation)(std::uint64_t lease) = nullptr;
    /// Lists a router under a lease, whatever its key holds.
    store_request (*encode_registration)(decisions::listed_router const& router,
                                         std::uint64_t lease) = nullptr;
    /// What a removed key named.
    decisions::store_record (*decode_removed_key)(std::string_view key) =
        nullptr;
};

} // namespace bramleyarch::services
