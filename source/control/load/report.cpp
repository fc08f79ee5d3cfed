#include "control/load/report.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <iterator>

namespace bramleyarch::load
{

namespace
{

using nlohmann::json;

json to_json(percentiles const& p)
{
    return {{"p50_ms", p.p50_ms},
            {"p95_ms", p.p95_ms},
            {"p99_ms", p.p99_ms},
            {"max_ms", p.max_ms},
            {"samples", p.samples}};
}

json to_json(skew_figures const& s)
{
    return {{"samples", s.samples},           {"worst_ratio", s.worst_ratio},
            {"p99_ratio", s.p99_ratio},       {"mean_ratio", s.mean_ratio},
            {"worst_excess", s.worst_excess}, {"above_bound", s.above_bound}};
}

json to_json(oracle_figures const& o)
{
    return {{"checked", o.checked},
            {"runs", o.runs},
            {"doubled", o.doubled},
            {"lost", o.lost},
            {"false_not_run", o.false_not_run},
            {"returning", o.returning},
            {"reused", o.reused},
            {"reusable", o.reusable},
            {"reuse_share", o.reuse_share},
            {"reusable_share", o.reusable_share},
            {"token_reuse_share", o.token_reuse_share},
            {"admissions", o.admissions},
            {"admitted_above_bound", o.admitted_above_bound},
            {"worst_admission_excess", o.worst_admission_excess},
            {"fell_over", o.fell_over},
            {"overloaded", o.overloaded}};
}

void add_latency(std::string& text, char const* name, percentiles const& p)
{
    fmt::format_to(std::back_inserter(text),
                   "{:<18} {:>10.2f} {:>10.2f} {:>10.2f} {:>10.2f}\n", name,
                   p.p50_ms, p.p95_ms, p.p99_ms, p.max_ms);
}

void add_oracle(std::string& text, oracle_figures const& o)
{
    if (!o.checked)
        return;
    fmt::format_to(std::back_inserter(text),
                   "\nactions: {} doubled, {} lost, {} falsely not run\n"
                   "returning chats: {}, prefix reused by {} "
                   "({:.2f}%, {:.2f}% of tokens), best possible {:.2f}%\n"
                   "{} of {} starts above the load bound, worst by {:.2f}\n"
                   "servers fell over {} times, {} of these by load\n",
                   o.doubled, o.lost, o.false_not_run, o.returning, o.reused,
                   100 * o.reuse_share, 100 * o.token_reuse_share,
                   100 * o.reusable_share, o.admitted_above_bound, o.admissions,
                   o.worst_admission_excess, o.fell_over, o.overloaded);
}

} // namespace

json to_json(load_result const& r)
{
    json classes = json::object();
    for (auto const& [name, figures] : r.classes)
        classes[name] = {{"sent", figures.sent},
                         {"outcomes", figures.by_outcome},
                         {"answered_share", figures.answered_share}};
    return {{"classes", classes},
            {"weighted_answered_share", r.weighted_answered_share},
            {"errors", r.errors},
            {"answered_by_team", r.answered_by_team},
            {"first_byte", to_json(r.first_byte)},
            {"between_chunks", to_json(r.between_chunks)},
            {"whole_answer", to_json(r.whole_answer)},
            {"seconds", r.seconds},
            {"answered_per_second", r.answered_per_second},
            {"extra_sends", r.extra_sends},
            {"skew", to_json(r.skew)},
            {"oracle", to_json(r.oracle)}};
}

json to_json(std::vector<load_sample> const& samples)
{
    json rows = json::array();
    for (auto const& sample : samples)
        rows.push_back({{"at_ms", to_ms(sample.at)},
                        {"service", sample.service},
                        {"servers", sample.servers},
                        {"mean", sample.mean},
                        {"most", sample.most}});
    return rows;
}

std::string to_table(load_result const& r)
{
    std::string text = fmt::format("{:<8} {:>8} {:>10}  outcomes\n", "class",
                                   "sent", "answered");
    auto const end = std::back_inserter(text);
    for (auto const& [name, figures] : r.classes)
    {
        fmt::format_to(end, "{:<8} {:>8} {:>9.3f}% ", name, figures.sent,
                       100 * figures.answered_share);
        for (auto const& [outcome, count] : figures.by_outcome)
            fmt::format_to(end, " {} {}", outcome, count);
        text += '\n';
    }
    fmt::format_to(end, "weighted by kind: {:.3f}% answered\n",
                   100 * r.weighted_answered_share);
    for (auto const& [kind, count] : r.errors)
        fmt::format_to(end, "error {}: {}\n", kind, count);
    fmt::format_to(end, "\n{:<18} {:>10} {:>10} {:>10} {:>10}\n", "ms", "p50",
                   "p95", "p99", "max");
    add_latency(text, "first byte", r.first_byte);
    add_latency(text, "between chunks", r.between_chunks);
    add_latency(text, "whole answer", r.whole_answer);
    fmt::format_to(end,
                   "\n{:.1f} answers/s over {:.1f} s, {} extra sends\n"
                   "busiest over mean: worst {:.2f}, p99 {:.2f}, mean {:.2f}; "
                   "{} of {} samples above the bound\n",
                   r.answered_per_second, r.seconds, r.extra_sends,
                   r.skew.worst_ratio, r.skew.p99_ratio, r.skew.mean_ratio,
                   r.skew.above_bound, r.skew.samples);
    add_oracle(text, r.oracle);
    return text;
}

std::string compare(json const& now, json const& baseline)
{
    std::string text = fmt::format("{:<44} {:>12} {:>12} {:>8}\n", "figure",
                                   "baseline", "now", "ratio");
    auto const flat = now.flatten();
    auto const before = baseline.flatten();
    for (auto const& [name, value] : flat.items())
    {
        if (!value.is_number() || !before.contains(name) ||
            !before[name].is_number())
            continue;
        double const b = before[name].get<double>();
        double const n = value.get<double>();
        fmt::format_to(std::back_inserter(text),
                       "{:<44} {:>12.4g} {:>12.4g} {:>8}\n", name, b, n,
                       b == 0 ? "-" : fmt::format("{:.3f}", n / b));
    }
    return text;
}

} // namespace bramleyarch::load
