#include "services/claims/claim_batch.hpp"

#include "services/claims/record_json.hpp"

#include <fmt/format.h>
#include <utility>

namespace bramleyarch::services
{

namespace
{

using decisions::claim_phase;
using decisions::claim_record;
using decisions::claim_write_reply;
using decisions::claim_write_result;

kv_compare to_compare(batch_write const& entry)
{
    if (!entry.write.expected)
    {
        return {.key = entry.key,
                .target = kv_compare_target::create_revision,
                .number = 0};
    }
    return {.key = entry.key,
            .target = kv_compare_target::value,
            .value = record_to_json(*entry.write.expected)};
}

kv_operation to_put(std::string const& key, claim_record const& record,
                    std::int64_t lease_id)
{
    return {.action = kv_action::put,
            .key = key,
            .value = record_to_json(record),
            .lease = lease_id};
}

/// Returns the record that stands for a value which is not a claim record, so
/// that such a value blocks the key like the claim of another attempt.
claim_record unreadable_record()
{
    return {.phase = claim_phase::claimed};
}

/// Returns the record that a read of one key found, or std::nullopt if the key
/// does not exist.
std::optional<claim_record> parse_record(std::vector<kv_entry> const& range)
{
    if (range.empty())
        return std::nullopt;
    auto const record = record_from_json(range.front().value);
    return record ? *record : unreadable_record();
}

claim_write_reply to_write_reply(batch_write const& entry, std::size_t index,
                                 result<kv_transaction_reply> const& reply)
{
    if (!reply)
    {
        bool const not_sent =
            reply.error().kind == error_kind::platform_unavailable;
        return {not_sent ? claim_write_result::not_sent
                         : claim_write_result::lost,
                std::nullopt};
    }
    auto const& transaction_reply = reply.value();
    if (transaction_reply.succeeded)
        return {claim_write_result::applied, std::nullopt};
    if (index >= transaction_reply.ranges.size())
        return {claim_write_result::lost, std::nullopt};
    auto found = parse_record(transaction_reply.ranges[index]);
    if (found == entry.write.expected)
        return {claim_write_result::not_sent, std::nullopt};
    return {claim_write_result::rejected, found};
}

} // namespace

std::string claim_key_name(team_id const& team, idempotency_key const& key)
{
    return fmt::format("once/{}/{}", team.value, to_text(key));
}

kv_transaction to_transaction(claim_batch const& batch, std::int64_t lease_id)
{
    kv_transaction transaction;
    for (auto const& entry : batch.writes)
    {
        transaction.conditions.push_back(to_compare(entry));
        transaction.on_success.push_back(
            to_put(entry.key, entry.write.desired, lease_id));
        transaction.on_failure.push_back(
            {.action = kv_action::range, .key = entry.key});
    }
    for (auto const& pending : batch.outcomes)
    {
        auto const put = to_put(pending.key, pending.record, lease_id);
        transaction.on_success.push_back(put);
        transaction.on_failure.push_back(put);
    }
    return transaction;
}

std::vector<batch_write_reply>
to_write_replies(claim_batch const& batch,
                 result<kv_transaction_reply> const& reply)
{
    std::vector<batch_write_reply> replies;
    for (std::size_t index = 0; index < batch.writes.size(); ++index)
    {
        auto const& entry = batch.writes[index];
        replies.push_back({entry, to_write_reply(entry, index, reply)});
    }
    return replies;
}

} // namespace bramleyarch::services
