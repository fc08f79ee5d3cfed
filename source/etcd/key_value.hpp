/// Transactions on the key-value store, independent of their encoding.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bramleyarch::etcd
{

/// A key with its value and its revisions in the store.
struct kv_entry
{
    std::string key;
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    std::int64_t version = 0;
};

enum class kv_compare_target
{
    create_revision, ///< 0 if the key does not exist.
    mod_revision,
    value,
};

/// Condition of a transaction: the `target` of the key equals `number`, or
/// `value` if the target is the value.
struct kv_compare
{
    std::string key;
    kv_compare_target target = kv_compare_target::mod_revision;
    std::int64_t number = 0;
    std::string value;
};

enum class kv_action
{
    put,
    erase,
    range,
};

/// One operation of a transaction.
struct kv_operation
{
    kv_action action = kv_action::range;
    std::string key;
    std::string range_end; ///< Empty for a single key.
    std::string value;
    std::int64_t lease = 0; ///< 0 for no lease.
};

/// A transaction. A plain put or range has no conditions.
struct kv_transaction
{
    std::vector<kv_compare> conditions;
    std::vector<kv_operation> on_success;
    std::vector<kv_operation> on_failure;
};

/// Result of a transaction.
struct kv_transaction_reply
{
    bool succeeded = false;
    std::int64_t revision = 0;
    /// One list of entries per range operation, in the order of the operations.
    std::vector<std::vector<kv_entry>> ranges;
};

} // namespace bramleyarch::etcd
