#include "control/submit_steps.hpp"

#include "control/http_calls.hpp"
#include "etcd/etcd_replies.hpp"
#include "etcd/etcd_requests.hpp"

namespace bramleyarch::control
{

namespace
{

/// Tries of a transaction or reading whose answer was lost.
constexpr int max_tries = 4;

/// Reads the key, again if no answer comes.
result<etcd::stored_document> read_key(run_transaction const& run,
                                       std::string const& key)
{
    error last;
    for (int i = 0; i < max_tries; ++i)
    {
        auto const reply = run(etcd::read_transaction(key));
        if (reply)
            return etcd::read_stored(reply.value());
        last = reply.error();
    }
    return last;
}

} // namespace

run_transaction make_runner(platform_target const& target)
{
    return [target](etcd::kv_transaction const& transaction)
               -> result<etcd::kv_transaction_reply>
    {
        auto request = etcd::encode_transaction(transaction);
        auto const answers = run_calls({{.to = target.platform,
                                         .method = "POST",
                                         .target = request.target,
                                         .body = request.body}},
                                       target.timeout);
        auto const& answer = answers.front();
        if (!answer)
            return answer.error();
        return etcd::decode_transaction(answer.value().status,
                                        answer.value().body);
    };
}

result<etcd::stored_document> read_stored(platform_target const& target)
{
    return read_key(make_runner(target), target.key);
}

result<revision> run_submit(run_transaction const& run, std::string const& key,
                            config::document document,
                            std::string submission_id)
{
    auto const stored = read_key(run, key);
    if (!stored && stored.error().kind == error_kind::invalid_config)
        return stored.error();
    if (!stored)
        return fail(error_kind::platform_unavailable,
                    "nothing was written: " + stored.error().detail);
    auto const prepared = etcd::prepare_submit(
        key, stored.value(), std::move(document), std::move(submission_id));
    if (!prepared)
        return prepared.error();
    auto const& pending = prepared.value();
    bool may_have_effect = false;
    error last;
    for (int i = 0; i < max_tries; ++i)
    {
        auto const reply = run(pending.transaction);
        if (reply)
            return etcd::settle_submit(pending, reply.value());
        last = reply.error();
        if (last.kind != error_kind::platform_timeout)
            continue;
        may_have_effect = true;
        auto const now_stored = read_key(run, key);
        if (!now_stored)
            continue;
        if (auto settled = etcd::settle_by_reading(pending, now_stored.value()))
            return std::move(*settled);
    }
    if (may_have_effect)
        return fail(error_kind::submit_uncertain, last.detail);
    return last;
}

result<revision> run_submit(platform_target const& target,
                            config::document document,
                            std::string submission_id)
{
    return run_submit(make_runner(target), target.key, std::move(document),
                      std::move(submission_id));
}

} // namespace bramleyarch::control
