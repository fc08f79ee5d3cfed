#include "etcd/submit.hpp"

#include "config/checks.hpp"
#include "config/document_json.hpp"

#include <fmt/format.h>

namespace bramleyarch::etcd
{

namespace
{

std::string conflict_text(revision based_on, config::document const& stored)
{
    return fmt::format("based on version {}, but version {} (submission "
                       "\"{}\") is stored",
                       based_on, stored.version, stored.submission_id);
}

} // namespace

kv_transaction read_transaction(std::string const& key)
{
    return {.on_success = {{.action = kv_action::range, .key = key}}};
}

result<stored_document> read_stored(kv_transaction_reply const& reply)
{
    stored_document stored;
    if (reply.ranges.empty() || reply.ranges.front().empty())
        return stored;
    auto const& entry = reply.ranges.front().front();
    auto parsed = config::parse_document(entry.value);
    if (!parsed.faults.empty())
        return fail(error_kind::invalid_config,
                    "stored document: " + describe(parsed.faults));
    stored.mod_revision = entry.mod_revision;
    stored.value = std::move(parsed.value);
    return stored;
}

result<pending_submit> prepare_submit(std::string const& key,
                                      stored_document const& stored,
                                      config::document document,
                                      std::string submission_id)
{
    auto const faults = config::check_document(document);
    if (!faults.empty())
        return fail(error_kind::invalid_config, describe(faults));
    if (document.version != stored.value.version)
        return fail(error_kind::revision_conflict,
                    conflict_text(document.version, stored.value));
    document.version += 1;
    document.submission_id = std::move(submission_id);
    pending_submit pending{.document = std::move(document)};
    pending.transaction = {
        .conditions = {{.key = key,
                        .target = kv_compare_target::mod_revision,
                        .number = stored.mod_revision}},
        .on_success = {{.action = kv_action::put,
                        .key = key,
                        .value = config::to_canonical_json(pending.document)}},
        .on_failure = {{.action = kv_action::range, .key = key}}};
    return pending;
}

result<revision> settle_submit(pending_submit const& pending,
                               kv_transaction_reply const& reply)
{
    if (reply.succeeded)
        return pending.document.version;
    auto const stored = read_stored(reply);
    if (!stored)
        return stored.error();
    // The condition of a retried transaction fails if an earlier attempt took
    // effect. The stored document then has the id of this submission.
    if (auto settled = settle_by_reading(pending, stored.value()))
        return std::move(*settled);
    return fail(
        error_kind::revision_conflict,
        conflict_text(pending.document.version - 1, stored.value().value));
}

std::optional<result<revision>> settle_by_reading(pending_submit const& pending,
                                                  stored_document const& stored)
{
    auto const& submitted = pending.document;
    if (stored.value.submission_id == submitted.submission_id)
        return result<revision>{submitted.version};
    if (stored.value.version < submitted.version)
        return std::nullopt;
    if (stored.value.version == submitted.version)
        return result<revision>{
            fail(error_kind::revision_conflict,
                 conflict_text(submitted.version - 1, stored.value))};
    return result<revision>{
        fail(error_kind::submit_uncertain,
             fmt::format("version {} is stored, above version {} that was "
                         "submitted; compare the two with `bramleyctl diff`",
                         stored.value.version, submitted.version))};
}

} // namespace bramleyarch::etcd
