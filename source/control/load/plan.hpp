/// The seeded plan of a load run: which request is sent when.
#pragma once

#include "common/enum_names.hpp"
#include "config/model.hpp"
#include "control/load/options.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bramleyarch::load
{

enum class request_class : std::uint8_t
{
    chat,   ///< Idempotent, to a model service.
    read,   ///< Idempotent, to a plain service.
    action, ///< Non-idempotent, to a plain service.
};

constexpr auto enum_names(request_class)
{
    using c = request_class;
    using row = enum_name<request_class>;
    return std::array{row{c::chat, "chat"}, row{c::read, "read"},
                      row{c::action, "action"}};
}

struct planned_request
{
    duration at{}; ///< Since the start of the run.
    request_class kind = request_class::chat;
    std::uint32_t team = 0;   ///< Index in the document.
    std::uint32_t chat = 0;   ///< For a chat.
    std::uint32_t target = 0; ///< Index in `plan::targets`.
    bool stream = false;
};

/// Where requests of one class can go.
struct plan_target
{
    request_class kind = request_class::chat;
    std::string service;
    std::string model;
    std::string method;
    std::string path;
    double weight = 1; ///< Share among the targets of its class.
};

struct plan
{
    std::vector<plan_target> targets;
    std::vector<planned_request> requests; ///< In order of time.
};

/// Targets that the document offers: a chat path for each model, and a path
/// for each route of a plain service.
std::vector<plan_target> find_targets(config::document const& doc);

/// Factor of the demand at `at`: 1, rising to 2 where it rains.
double demand_factor(load_options const& options, duration at);

/// Equal options and documents give equal plans.
plan make_plan(load_options const& options, config::document const& doc);

} // namespace bramleyarch::load
