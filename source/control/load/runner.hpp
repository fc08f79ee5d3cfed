/// Runs a plan: sends each request at its time, whatever became of those
/// before it, and checks every answer byte for byte.
#pragma once

#include "common/error.hpp"
#include "config/model.hpp"
#include "control/load/options.hpp"
#include "control/load/result.hpp"

#include <vector>

namespace bramleyarch::load
{

struct run_output
{
    std::vector<request_record> records;
    std::vector<duration> between_chunks;
    std::vector<load_sample> samples;
    duration length{};
};

/// Fails with `io_failure` when no client can be made, and with
/// `invalid_config` when the document has no team or nothing to send to.
result<run_output> run_load(load_options const& options,
                            config::document const& doc);

} // namespace bramleyarch::load
