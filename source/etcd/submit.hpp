/// Submitting a configuration: compare-and-swap of the whole document, and
/// what its answer, or the lack of one, means. Pure functions; the caller
/// runs the transactions.
///
/// 1. Read the key (`read_transaction`).
/// 2. `prepare_submit`: refuses a document that is based on another version
///    than the one stored, checks it, and makes the transaction.
/// 3. Run it. `settle_submit` for its answer. When there is no answer, read
///    the key again and use `settle_by_reading`.
#pragma once

#include "common/error.hpp"
#include "config/model.hpp"
#include "etcd/key_value.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace bramleyarch::etcd
{

/// A document as the key holds it.
struct stored_document
{
    std::int64_t mod_revision = 0; ///< 0: the key does not exist.
    config::document value;        ///< Version 0 when there is none.
};

/// Reads `key`.
kv_transaction read_transaction(std::string const& key);

/// The document in the reply to `read_transaction`; `invalid_config` for one
/// that can't be read.
result<stored_document> read_stored(kv_transaction_reply const& reply);

/// A checked document on its way.
struct pending_submit
{
    config::document document; ///< With its new version and submission id.
    kv_transaction transaction;
};

/// Makes the submit of `document`, whose version names the one it is based
/// on. `invalid_config` with all faults, `revision_conflict` naming the stored
/// version.
result<pending_submit> prepare_submit(std::string const& key,
                                      stored_document const& stored,
                                      config::document document,
                                      std::string submission_id);

/// Version now stored, from the answer to the transaction;
/// `revision_conflict` naming the version and submission that came first.
result<revision> settle_submit(pending_submit const& pending,
                               kv_transaction_reply const& reply);

/// As `settle_submit`, from a later read: the submit took effect if its
/// submission id is stored. When a higher version is stored this can't be
/// told, and the error says so (`submit_uncertain`). Nothing when the write
/// has not taken effect so far: it may be sent again, for the condition lets
/// only one of the two through.
std::optional<result<revision>>
settle_by_reading(pending_submit const& pending, stored_document const& stored);

} // namespace bramleyarch::etcd
