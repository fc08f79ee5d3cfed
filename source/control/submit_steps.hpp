/// Runs a submit against the platform's service.
#pragma once

#include "common/error.hpp"
#include "common/ids.hpp"
#include "common/time.hpp"
#include "config/model.hpp"
#include "etcd/submit.hpp"

#include <functional>
#include <string>

namespace bramleyarch::control
{

struct platform_target
{
    endpoint platform;
    std::string key;
    duration timeout{};
};

/// Runs one transaction; the errors are those of the platform's codec.
using run_transaction = std::function<result<etcd::kv_transaction_reply>(
    etcd::kv_transaction const&)>;

/// Runs transactions over HTTP.
run_transaction make_runner(platform_target const& target);

/// The document stored under the key.
result<etcd::stored_document> read_stored(platform_target const& target);

/// Submits `document`; the version stored, or an error. A lost answer is
/// settled by reading back.
result<revision> run_submit(platform_target const& target,
                            config::document document,
                            std::string submission_id);

/// The same over any way to run transactions.
result<revision> run_submit(run_transaction const& run, std::string const& key,
                            config::document document,
                            std::string submission_id);

} // namespace bramleyarch::control
