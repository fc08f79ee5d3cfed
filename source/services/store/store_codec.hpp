/// Requests to the key-value store of a platform, independent of their
/// encoding.
#pragma once

#include "common/enum_names.hpp"
#include "common/error.hpp"
#include "common/request.hpp"
#include "decisions/discovery.hpp"
#include "decisions/status_record.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bramleyarch::services
{

/// A group of records that is listed and watched as a whole.
enum class record_group
{
    rules,   ///< Operators' rules, and the failure domains taken out of use.
    servers, ///< Backend servers.
    routers, ///< Routers, including this one.
};

constexpr auto enum_names(record_group)
{
    using g = record_group;
    using row = enum_name<record_group>;
    return std::array{row{g::rules, "rules"}, row{g::servers, "servers"},
                      row{g::routers, "routers"}};
}

/// Whether a list has to be up to date.
enum class list_consistency
{
    current,
    allow_stale, ///< May be some seconds old; costs a tenth as much.
};

/// An HTTP request to the store.
struct store_request
{
    std::string method;
    std::string target;
    std::string body; ///< JSON; empty for requests without a body.
};

/// A page of a list, or the changes that a watch returned.
struct record_batch
{
    std::vector<decisions::record_change> changes;
    revision as_of = 0;    ///< Revision of the store that the batch reflects.
    std::string last_key;  ///< The next page of a list starts after this key.
    bool has_more = false; ///< The list has further pages.
};

/// Encodes requests to a store and decodes its responses. Functions that
/// return a `result` fail with `platform_unavailable` if the body is malformed.
struct store_codec
{
    /// Returns the group that a key belongs to; `routers` for unrelated keys.
    record_group (*group_of)(std::string_view key) = nullptr;
    /// Encodes a request for the page of a group's list that starts after
    /// `after_key`; an empty key requests the first page.
    store_request (*encode_list)(record_group group, std::string_view after_key,
                                 list_consistency consistency) = nullptr;
    result<record_batch> (*decode_list)(std::string_view body) = nullptr;
    /// Encodes a long poll for the changes after a revision. The store responds
    /// once there are changes, or without any after `wait`.
    store_request (*encode_watch)(record_group group, revision after,
                                  duration wait) = nullptr;
    result<record_batch> (*decode_watch)(std::string_view body) = nullptr;
    /// Returns the era of the store that the head of a response states, or 0 if
    /// it states none. The store begins a new era when it comes back from an
    /// older copy: changes are lost, and revisions are given out again.
    std::uint64_t (*decode_era)(std::vector<header_field> const& headers) =
        nullptr;
    store_request (*encode_lease_grant)(duration ttl) = nullptr;
    /// Returns the ID of the granted lease.
    result<std::uint64_t> (*decode_lease_grant)(std::string_view body) =
        nullptr;
    store_request (*encode_lease_renewal)(std::uint64_t lease) = nullptr;
    store_request (*encode_lease_revocation)(std::uint64_t lease) = nullptr;
    /// Encodes a write of a router's record under a lease. It overwrites any
    /// earlier value of the key.
    store_request (*encode_registration)(decisions::listed_router const& router,
                                         std::uint64_t lease) = nullptr;
    /// Returns a record that identifies what the removed key stood for.
    decisions::store_record (*decode_removed_key)(std::string_view key) =
        nullptr;
    /// Encodes a read of the key that holds the order of a service's rollout.
    store_request (*encode_order_read)(service_id const& service) = nullptr;
    /// Decodes the response to a read of an order, also if the key does not
    /// exist. `as_of` is 0 if the response does not state its revision.
    result<record_batch> (*decode_order_read)(std::string_view body) = nullptr;
    /// Encodes a read of the key that holds the status of a service's rollout.
    store_request (*encode_status_read)(service_id const& service) = nullptr;
    /// Decodes the response to a read that found the key.
    result<decisions::stored_status> (*decode_status_read)(
        std::string_view body) = nullptr;
    /// Encodes a write of a status that is executed only while the revision of
    /// the key is `expected`; 0: while the key does not exist.
    store_request (*encode_status_write)(config::rollout_status const& status,
                                         revision expected) = nullptr;
    /// Returns the revision of the key after an executed write.
    result<revision> (*decode_status_write)(std::string_view body) = nullptr;
    /// Decodes the response to a write whose condition did not hold.
    result<decisions::stored_status> (*decode_status_conflict)(
        std::string_view body) = nullptr;
};

} // namespace bramleyarch::services
