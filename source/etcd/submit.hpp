/// Submits a configuration by compare-and-swap of the whole document and
/// determines the outcome, also if the reply was lost. The functions are pure;
/// the caller runs the transactions.
///
/// 1. Read the key (`read_transaction`).
/// 2. Call `prepare_submit`. It validates the document, rejects it if it is
///    based on another version than the stored one, and builds the transaction.
/// 3. Run the transaction and pass its reply to `settle_submit`. If there is
///    no reply, read the key again and call `settle_by_reading`.
#pragma once

#include "common/error.hpp"
#include "config/model.hpp"
#include "etcd/key_value.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace bramleyarch::etcd
{

/// The document that is stored under the key.
struct stored_document
{
    std::int64_t mod_revision = 0; ///< 0 if the key does not exist.
    config::document value;        ///< Version 0 if there is none.
};

/// Builds the transaction that reads `key`.
kv_transaction read_transaction(std::string const& key);

/// Extracts the document from a reply to `read_transaction`. Fails with
/// `invalid_config` if the document can't be parsed.
result<stored_document> read_stored(kv_transaction_reply const& reply);

/// A validated document and the transaction that stores it.
struct pending_submit
{
    config::document document; ///< Has the new version and submission id.
    kv_transaction transaction;
};

/// Prepares the submission of `document`. Its version is the one that it is
/// based on. Fails with `invalid_config`, which lists all faults, or with
/// `revision_conflict`, which names the stored version.
result<pending_submit> prepare_submit(std::string const& key,
                                      stored_document const& stored,
                                      config::document document,
                                      std::string submission_id);

/// Returns the version that the transaction stored, given its reply. Fails
/// with `revision_conflict`, which names the version and submission that are
/// stored instead, or as `read_stored` and `settle_by_reading` do.
result<revision> settle_submit(pending_submit const& pending,
                               kv_transaction_reply const& reply);

/// Determines the outcome of a submission from a later read. The submission
/// took effect if its id is stored. Fails with `revision_conflict` if another
/// submission is stored under the same version, and with `submit_uncertain` if
/// a higher version is stored, since that version hides the outcome. Returns
/// std::nullopt if the write has not taken effect so far. It may then be sent
/// again, since its condition lets at most one of the two copies succeed.
std::optional<result<revision>>
settle_by_reading(pending_submit const& pending, stored_document const& stored);

} // namespace bramleyarch::etcd
