#include "control/load/plan.hpp"

#include "common/digest.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace bramleyarch::load
{

namespace
{

using random_engine = std::mt19937_64;

/// Uniform in [0, 1), the same on every standard library.
double uniform(random_engine& random)
{
    constexpr double steps = 1ULL << 53;
    return static_cast<double>(random() >> 11) / steps;
}

std::size_t pick(random_engine& random, std::vector<double> const& weights)
{
    double total = 0;
    for (double const weight : weights)
        total += weight;
    double left = uniform(random) * total;
    for (std::size_t i = 0; i + 1 < weights.size(); ++i)
    {
        left -= weights[i];
        if (left < 0)
            return i;
    }
    return weights.size() - 1;
}

bool surges_at(surge const& s, std::string const& team, duration at)
{
    return s.team == team && at >= s.start && at < s.start + s.length;
}

std::vector<double> team_weights(load_options const& options,
                                 config::document const& doc, duration at)
{
    std::vector<double> weights;
    for (auto const& team : doc.teams)
    {
        double weight = team.weight;
        for (auto const& s : options.surges)
        {
            if (surges_at(s, team.id.value, at))
                weight *= s.factor;
        }
        weights.push_back(weight);
    }
    return weights;
}

double sum(std::vector<double> const& values)
{
    double total = 0;
    for (double const value : values)
        total += value;
    return total;
}

request_class pick_class(random_engine& random, load_options const& options)
{
    double const at = uniform(random) * 100;
    if (at < options.action_percent)
        return request_class::action;
    if (at < options.action_percent + options.read_percent)
        return request_class::read;
    return request_class::chat;
}

std::vector<double> target_weights(std::vector<plan_target> const& targets,
                                   request_class kind)
{
    std::vector<double> weights;
    for (auto const& target : targets)
        weights.push_back(target.kind == kind ? target.weight : 0);
    return weights;
}

planned_request draw(random_engine& random, load_options const& options,
                     config::document const& doc, plan const& made, duration at)
{
    planned_request drawn{.at = at, .kind = pick_class(random, options)};
    auto weights = target_weights(made.targets, drawn.kind);
    if (sum(weights) == 0)
    {
        drawn.kind = made.targets.front().kind;
        weights = target_weights(made.targets, drawn.kind);
    }
    auto const teams = team_weights(options, doc, at);
    drawn.team = static_cast<std::uint32_t>(pick(random, teams));
    auto const per_team = std::max<std::uint64_t>(
        1, options.chats / std::max<std::size_t>(1, doc.teams.size()));
    drawn.chat = static_cast<std::uint32_t>(
        drawn.team + doc.teams.size() * (random() % per_team));
    // A chat stays with its service.
    random_engine by_chat{mix(options.seed, drawn.chat)};
    bool const is_chat = drawn.kind == request_class::chat;
    drawn.target =
        static_cast<std::uint32_t>(pick(is_chat ? by_chat : random, weights));
    drawn.stream = uniform(random) * 100 < options.stream_percent;
    return drawn;
}

void add_plain_targets(std::vector<plan_target>& targets,
                       config::service_config const& service)
{
    for (auto const& route : service.routes)
    {
        bool const repeats = route.kind == request_kind::idempotent;
        targets.push_back(
            {.kind = repeats ? request_class::read : request_class::action,
             .service = service.id.value,
             .method = route.method == "*" ? "POST" : route.method,
             .path = service.path_prefix + route.path_prefix});
    }
}

} // namespace

std::vector<plan_target> find_targets(config::document const& doc)
{
    std::vector<plan_target> targets;
    for (auto const& service : doc.services)
    {
        if (service.kind == config::service_kind::plain)
        {
            add_plain_targets(targets, service);
            continue;
        }
        for (auto const& model : service.models)
            targets.push_back(
                {.kind = request_class::chat,
                 .service = service.id.value,
                 .model = model,
                 .method = "POST",
                 .path = service.path_prefix + "/chat/completions",
                 .weight = static_cast<double>(service.servers.size()) /
                           static_cast<double>(service.models.size())});
    }
    return targets;
}

double demand_factor(load_options const& options, duration at)
{
    if (options.rain_at.count() == 0 || at <= options.rain_at)
        return 1;
    double const risen = std::chrono::duration<double>(at - options.rain_at) /
                         std::chrono::duration<double>(options.rain_rise);
    return 1 + std::min(1.0, risen);
}

plan make_plan(load_options const& options, config::document const& doc)
{
    plan made;
    made.targets = find_targets(doc);
    if (made.targets.empty() || doc.teams.empty())
        return made;
    random_engine random{options.seed};
    double at_seconds = 0;
    double const usual = sum(team_weights(options, doc, duration{-1}));
    for (std::uint32_t i = 0; i < options.requests; ++i)
    {
        duration const at{static_cast<std::int64_t>(at_seconds * 1e9)};
        made.requests.push_back(draw(random, options, doc, made, at));
        double const surging = sum(team_weights(options, doc, at)) / usual;
        double const rate = options.rate * demand_factor(options, at) * surging;
        at_seconds -= std::log(1 - uniform(random)) / rate;
    }
    return made;
}

} // namespace bramleyarch::load
