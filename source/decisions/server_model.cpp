#include "decisions/server_model.hpp"

#include <algorithm>
#include <cmath>

namespace bramleyarch::decisions
{

namespace
{

double fraction(duration part, duration whole)
{
    return static_cast<double>(part.count()) /
           static_cast<double>(whole.count());
}

bool is_notable(server_model_options const& options, double percent)
{
    return std::abs(percent - usual_pace_percent) >= options.notable_percent;
}

bool is_recent(server_model_options const& options,
               std::optional<observed_pace> const& pace, time_point at)
{
    return pace && at - pace->at < options.max_pace_age;
}

/// Returns the server's entry, or nullptr if the model is full.
observed_server* find_or_add(server_model& model, std::uint64_t server)
{
    auto const found = model.servers.find(server);
    if (found != model.servers.end())
        return &found->second;
    if (model.servers.size() >= model.options.max_servers)
        return nullptr;
    return &model.servers[server];
}

/// Replaces a stated pace by a newer one.
void replace_stated(server_model_options const& options,
                    std::optional<observed_pace>& stated, double percent,
                    time_point observed_at)
{
    if (stated && stated->at >= observed_at)
        return;
    std::optional<time_point> corrects_since;
    if (!is_notable(options, percent) &&
        is_recent(options, stated, observed_at))
    {
        corrects_since = is_notable(options, stated->percent)
                             ? observed_at
                             : stated->corrects_since;
        // The correction has reached the peers by then.
        if (corrects_since &&
            observed_at - *corrects_since > options.max_sent_age)
            corrects_since.reset();
    }
    stated = {.percent = percent,
              .at = observed_at,
              .corrects_since = corrects_since};
}

bool is_worth_sending(server_model_options const& options,
                      std::optional<observed_pace> const& pace, time_point at)
{
    return pace && at - pace->at <= options.max_sent_age &&
           (pace->corrects_since || is_notable(options, pace->percent));
}

} // namespace

void record_report(server_model& model, std::uint64_t server,
                   server_report const& report, time_point at)
{
    auto* const known = find_or_add(model, server);
    if (!known)
        return;
    known->report = report;
    known->reported_at = at;
    if (report.pace_percent)
        replace_stated(model.options, known->stated, *report.pace_percent, at);
}

void record_peer_pace(server_model& model, aged_server_pace const& pace,
                      time_point at)
{
    std::chrono::milliseconds const age{pace.age_ms};
    if (pace.pace_percent == 0 || pace.pace_percent > max_pace_percent ||
        age >= model.options.max_pace_age)
        return;
    if (auto* const known = find_or_add(model, pace.server))
        replace_stated(model.options, known->stated, pace.pace_percent,
                       at - age);
}

void record_time(server_model& model, std::uint64_t service,
                 std::uint64_t server, measured_time kind, duration elapsed,
                 double work, time_point at)
{
    // One answer out of order must not change the belief by more.
    constexpr double max_ratio = 10;
    auto* const known = find_or_add(model, server);
    if (!known || elapsed <= duration::zero() || work <= 0)
        return;
    auto const time =
        std::chrono::duration<double, std::milli>{elapsed}.count() / work;
    auto& usual = model.usual[service][static_cast<std::size_t>(kind)];
    usual = usual > 0 ? usual + model.options.usual_time_weight * (time - usual)
                      : time;
    auto const percent = usual_pace_percent * std::min(time / usual, max_ratio);
    auto& measured = known->measured;
    auto const before = is_recent(model.options, measured, at)
                            ? measured->percent
                            : usual_pace_percent;
    measured = {.percent =
                    before + model.options.measured_weight * (percent - before),
                .at = at};
}

bool has_stated_pace(server_model const& model, std::uint64_t server,
                     time_point at)
{
    auto const found = model.servers.find(server);
    return found != model.servers.end() &&
           is_recent(model.options, found->second.stated, at);
}

believed_pace pace_at(server_model const& model, std::uint64_t server,
                      time_point at)
{
    auto const found = model.servers.find(server);
    if (found == model.servers.end())
        return {};
    auto const& known = found->second;
    bool const is_stated = is_recent(model.options, known.stated, at);
    if (!is_stated && !is_recent(model.options, known.measured, at))
        return {};
    auto const& pace = is_stated ? *known.stated : *known.measured;
    auto const age = std::max(at - pace.at, duration::zero());
    auto const weight = std::exp2(-fraction(age, model.options.pace_half_life));
    return {.percent = usual_pace_percent +
                       weight * (pace.percent - usual_pace_percent),
            .source = is_stated ? pace_source::stated : pace_source::measured,
            .age = age};
}

double load_at(server_model const& model, std::uint64_t server, double counted,
               time_point at)
{
    auto const found = model.servers.find(server);
    if (found == model.servers.end() || !found->second.report)
        return counted;
    auto const age = at - found->second.reported_at;
    if (age >= model.options.counts_max_age)
        return counted;
    auto const& report = *found->second.report;
    auto const reported = static_cast<double>(report.running) + report.waiting;
    auto const weight = 1 - fraction(age, model.options.counts_max_age);
    return counted + weight * std::max(reported - counted, 0.0);
}

std::vector<aged_server_pace> paces_to_send(server_model const& model,
                                            time_point at)
{
    std::vector<aged_server_pace> paces;
    for (auto const& [server, known] : model.servers)
    {
        if (!is_worth_sending(model.options, known.stated, at))
            continue;
        // Rounded up, so that a pace does not become newer on its way.
        auto const age =
            std::chrono::ceil<std::chrono::milliseconds>(at - known.stated->at);
        paces.push_back(
            {.server = server,
             .pace_percent = static_cast<std::uint32_t>(known.stated->percent),
             .age_ms = static_cast<std::uint32_t>(age.count())});
    }
    std::ranges::sort(paces, {}, &aged_server_pace::age_ms);
    paces.resize(std::min(
        {paces.size(), model.options.max_sent, max_paces_per_heartbeat}));
    return paces;
}

void remove_expired(server_model& model, time_point at)
{
    std::erase_if(model.servers,
                  [&](auto const& entry)
                  {
                      auto const& known = entry.second;
                      bool const has_counts =
                          known.report &&
                          at - known.reported_at < model.options.counts_max_age;
                      return !has_counts &&
                             !is_recent(model.options, known.stated, at) &&
                             !is_recent(model.options, known.measured, at);
                  });
}

} // namespace bramleyarch::decisions
