#include "control/load/result.hpp"

#include <algorithm>

namespace bramleyarch::load
{

namespace
{

/// Weight of a class in the answered share: an action that may run only once
/// counts more than a read.
double weight_of(request_class kind)
{
    switch (kind)
    {
    case request_class::action:
        return 3;
    case request_class::chat:
        return 2;
    case request_class::read:
        return 1;
    }
    return 1;
}

double to_milliseconds(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

int rank_of(told t)
{
    switch (t)
    {
    case told::answered:
        return 6;
    case told::wrong_bytes:
        return 5;
    case told::failed:
        return 4;
    case told::unknown:
        return 3;
    case told::connection_lost:
        return 2;
    case told::not_run:
        return 1;
    case told::pending:
        return 0;
    }
    return 0;
}

void count_classes(load_result& made,
                   std::vector<request_record> const& records)
{
    double weighted = 0;
    double weights = 0;
    for (auto const& record : records)
    {
        auto& figures = made.classes[std::string{to_name(record.kind)}];
        told const outcome = outcome_of(record);
        ++figures.sent;
        ++figures.by_outcome[std::string{to_name(outcome)}];
        made.extra_sends += record.sends.size() - 1;
        weights += weight_of(record.kind);
        if (outcome == told::answered)
            weighted += weight_of(record.kind);
        else
            ++made.errors[record.last_error];
    }
    for (auto& [name, figures] : made.classes)
        figures.answered_share =
            share(figures.by_outcome["answered"], figures.sent);
    made.weighted_answered_share = weights == 0 ? 0 : weighted / weights;
}

void count_teams(load_result& made, std::vector<request_record> const& records,
                 config::document const& doc)
{
    std::vector<std::uint64_t> sent(doc.teams.size());
    std::vector<std::uint64_t> answered(doc.teams.size());
    for (auto const& record : records)
    {
        ++sent[record.team];
        answered[record.team] += outcome_of(record) == told::answered ? 1 : 0;
    }
    for (std::size_t i = 0; i < sent.size(); ++i)
    {
        if (sent[i] > 0)
            made.answered_by_team[doc.teams[i].id.value] =
                share(answered[i], sent[i]);
    }
}

} // namespace

told outcome_of(request_record const& record)
{
    told best = told::pending;
    for (told const t : record.sends)
        best = rank_of(t) > rank_of(best) ? t : best;
    return best;
}

percentiles summarise(std::vector<duration>& samples)
{
    if (samples.empty())
        return {};
    std::ranges::sort(samples);
    auto const at = [&samples](double quantile)
    {
        auto const last = static_cast<double>(samples.size() - 1);
        return to_milliseconds(
            samples[static_cast<std::size_t>(last * quantile)]);
    };
    return {.p50_ms = at(0.5),
            .p95_ms = at(0.95),
            .p99_ms = at(0.99),
            .max_ms = at(1),
            .samples = samples.size()};
}

skew_figures summarise(std::vector<load_sample> const& samples,
                       std::uint32_t bound_percent)
{
    skew_figures made;
    made.worst_excess = -1;
    std::vector<double> ratios;
    for (auto const& sample : samples)
    {
        double const most = sample.most;
        double const bound = bound_percent / 100.0 * sample.mean + 1;
        made.worst_excess = std::max(made.worst_excess, most - bound);
        made.above_bound += most > bound ? 1 : 0;
        if (sample.mean >= 1)
            ratios.push_back(most / sample.mean);
    }
    made.samples = samples.size();
    if (ratios.empty())
        return made;
    std::ranges::sort(ratios);
    double total = 0;
    for (double const ratio : ratios)
        total += ratio;
    auto const last = static_cast<double>(ratios.size() - 1);
    made.worst_ratio = ratios.back();
    made.p99_ratio = ratios[static_cast<std::size_t>(last * 0.99)];
    made.mean_ratio = total / static_cast<double>(ratios.size());
    return made;
}

load_result summarise(std::vector<request_record> const& records,
                      std::vector<duration>& between_chunks,
                      config::document const& doc, duration length)
{
    load_result made;
    std::vector<duration> first_bytes;
    std::vector<duration> wholes;
    for (auto const& record : records)
    {
        if (outcome_of(record) != told::answered)
            continue;
        first_bytes.push_back(record.first_byte);
        wholes.push_back(record.whole);
    }
    count_classes(made, records);
    count_teams(made, records, doc);
    made.first_byte = summarise(first_bytes);
    made.whole_answer = summarise(wholes);
    made.between_chunks = summarise(between_chunks);
    made.seconds = std::chrono::duration<double>(length).count();
    made.answered_per_second =
        made.seconds == 0 ? 0
                          : static_cast<double>(wholes.size()) / made.seconds;
    return made;
}

} // namespace bramleyarch::load
