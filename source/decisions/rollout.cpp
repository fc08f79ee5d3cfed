#include "decisions/rollout.hpp"

#include "common/digest.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

namespace
{

using config::rollout_state;

/// Period over which the rate of requests is measured.
constexpr duration rate_period = std::chrono::seconds{3};

/// Own requests below which each one takes a free place at the new version.
constexpr std::uint32_t min_weighted_requests = 20;

/// Rounds of heartbeats for which counts are sent after they changed. With
/// 1,000 routers, a round reaches one of nine peers of the domain.
constexpr std::uint32_t rounds_after_change = 10;

/// Counts that did not change are sent in one of so many rounds, and those of
/// the old version, which are many and change slowly in proportion, in one of
/// so many. Neither number shares a factor with the rounds between heartbeats
/// to the same peer in fleets of usual sizes.
constexpr std::uint64_t rounds_per_unchanged = 7;
constexpr std::uint64_t rounds_per_old_counts = 3;

/// Updates which of the own counts have changed.
void begin_round(rollout& state)
{
    ++state.round;
    for (auto const& [side, counts] : state.book.own)
    {
        auto& reported = state.reported[side];
        reported.unchanged_rounds =
            reported.counts == counts ? reported.unchanged_rounds + 1 : 0;
        reported.counts = counts;
    }
}

/// Returns the own counts that the heartbeats of this round carry.
std::vector<version_counts> counts_of_round(rollout const& state)
{
    std::vector<version_counts> selected;
    std::uint64_t turn = state.round;
    for (auto const& [side, reported] : state.reported)
    {
        ++turn;
        bool const has_changed =
            reported.unchanged_rounds < rounds_after_change &&
            (side.second || turn % rounds_per_old_counts == 0);
        if (has_changed || turn % rounds_per_unchanged == 0)
            selected.push_back(reported.counts);
    }
    return selected;
}

bool is_final(std::optional<rollout_state> const& stored)
{
    return stored && *stored != rollout_state::running;
}

bool is_fresh(rollout const& state, time_point at)
{
    return state.routers <= 1 ||
           at - state.book.heard_at <= state.options.max_evidence_age;
}

duration age(rollout const& state, time_point at)
{
    return at - state.started_at;
}

/// Returns whether the rollout is to be decided on now: its deadline is near,
/// or the limit is spent, so that no more evidence can be had.
bool is_due(rollout const& state, time_point at)
{
    bool const is_whole = state.step == rollout_step::full &&
                          at - state.step_since >= state.options.min_full;
    return age(state, at) >= decision_time(state.length, state.options.plan) ||
           (is_whole &&
            is_limit_reached(totals_of(state, at), state.options.plan));
}

/// Returns how much evidence is asked for. It is less once half of the time has
/// passed in which a bad version has to be left.
verdict_urgency urgency(rollout const& state, time_point at)
{
    if (is_due(state, at))
        return verdict_urgency::last;
    auto const limit = state.options.plan.limits.rollback / 2;
    bool const is_late = state.many_bad_since != time_point{} &&
                         at - state.many_bad_since >= limit;
    return is_late ? verdict_urgency::many_bad : verdict_urgency::none;
}

/// Recent streams per second at both versions.
double stream_rate(rollout const& state,
                   rollout_surroundings const& surroundings, time_point at)
{
    auto const recent = counts_since(state.book, state.sum, rate_period, at);
    double sent = 0;
    for (auto const& [side, counts] : recent)
    {
        if (std::ranges::count(surroundings.streams, side.first) > 0)
            sent += counts.sent;
    }
    return sent / std::chrono::duration<double>{rate_period}.count();
}

rollout_step next_step(rollout const& state,
                       rollout_surroundings const& surroundings, time_point at)
{
    if (state.stored == rollout_state::succeeded)
        return rollout_step::full;
    if (state.finding || state.stored == rollout_state::rolled_back ||
        state.decision == rollout_state::rolled_back)
        return rollout_step::stopped;
    if (surroundings.new_servers == 0)
        return rollout_step::waiting;
    if (state.step == rollout_step::full)
        return rollout_step::full;
    auto const& plan = state.options.plan;
    auto const until = decision_time(state.length, plan);
    auto const passed = age(state, at);
    if (until - passed <=
        affordable_full_time(totals_of(state, at), state.length, plan))
        return rollout_step::full;
    auto const stream_time = affordable_stream_time(
        totals_of(state, at), stream_rate(state, surroundings, at),
        state.length, plan);
    if (state.step == rollout_step::streams || until - passed <= stream_time)
        return rollout_step::streams;
    auto const probe_time = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{until} * plan.probe_fraction);
    return passed < probe_time ? rollout_step::probe : rollout_step::canary;
}

/// Decides on the rollout if it is time to.
void decide(rollout& state, rollout_surroundings const& surroundings,
            time_point at)
{
    std::optional<rollout_state> decision;
    if (state.finding)
        decision = rollout_state::rolled_back;
    else if (is_due(state, at))
        decision = surroundings.new_servers > 0 ? rollout_state::succeeded
                                                : rollout_state::rolled_back;
    if (decision && decision != state.decision)
    {
        state.decision = decision;
        state.decided_at = at;
        state.written_at = {};
    }
}

/// Returns the state to be written now.
std::optional<rollout_state> state_to_write(rollout& state, time_point at)
{
    auto const& options = state.options;
    bool const began = state.step != rollout_step::waiting;
    std::optional<rollout_state> wanted = state.decision;
    if (!wanted && began && !state.stored)
        wanted = rollout_state::running;
    if (!wanted || wanted == state.stored)
        return std::nullopt;
    auto const since = state.decision ? state.decided_at : state.step_since;
    auto delay = options.takeover_delay * state.rank;
    // A router without news leaves the decision to those that have some.
    if (!is_fresh(state, at))
        delay += 2 * options.takeover_delay;
    bool const was_written = state.written_at != time_point{};
    if (at - since < delay ||
        (was_written && at - state.written_at < options.write_interval))
        return std::nullopt;
    state.written_at = at;
    return wanted;
}

} // namespace

rollout make_rollout(rollout_options const& options,
                     config::rollout_order const& order, router_id const& self,
                     std::vector<router_id> const& others, time_point at)
{
    rollout made{.options = options,
                 .order = order.changed,
                 .length = order.length,
                 .started_at = at,
                 .step_since = at};
    made.book.options = options.evidence;
    // The order was read from the store just now.
    made.book.heard_at = at;
    update_routers(made, self, others, order.service);
    return made;
}

void update_routers(rollout& state, router_id const& self,
                    std::vector<router_id> const& others,
                    service_id const& service)
{
    state.routers =
        std::max(state.routers, static_cast<std::uint32_t>(others.size() + 1));
    state.position = rounding_position(self, others);
    state.rank = writer_rank(self, others, service, state.order);
}

void record_contact(rollout& state, time_point at)
{
    state.book.heard_at = at;
}

void apply_evidence(rollout& state, domain_id const& own_domain,
                    peer_heartbeat const& heartbeat,
                    rollout_evidence const& evidence, time_point at)
{
    if (evidence.order != state.order)
        return;
    apply_evidence(state.book, own_domain, heartbeat, evidence.counts, at);
    state.started_at = std::min(
        state.started_at, at - std::chrono::milliseconds{evidence.age_ms});
    if (evidence.state != rollout_state::running)
        apply_stored_state(state, evidence.state, at);
}

void apply_stored_state(rollout& state, rollout_state stored, time_point at)
{
    if (is_final(state.stored))
        return;
    state.stored = stored;
    if (!is_final(state.stored))
        return;
    state.step = stored == rollout_state::succeeded ? rollout_step::full
                                                    : rollout_step::stopped;
    state.step_since = at;
}

rollout_check check(rollout& state, rollout_surroundings const& surroundings,
                    time_point at)
{
    rollout_check result;
    begin_round(state);
    state.sum = fleet_evidence(state.book);
    record_snapshot(state.book, state.sum, at);
    if (is_final(state.stored))
        return result;
    auto const bad = bad_answers(total_of(state.sum, true));
    if (bad >= state.options.many_bad_answers &&
        state.many_bad_since == time_point{})
        state.many_bad_since = at;
    if (!state.finding)
    {
        state.finding = find_badness(state.book, state.sum, at,
                                     urgency(state, at), state.options.verdict);
        result.found_bad = state.finding.has_value();
    }
    decide(state, surroundings, at);
    auto const step = next_step(state, surroundings, at);
    result.step_changed = step != state.step;
    if (result.step_changed)
    {
        state.step = step;
        state.step_since = at;
    }
    result.write = state_to_write(state, at);
    return result;
}

bool prefers_new_version(rollout const& state, std::uint64_t route,
                         bool streaming, double draw, time_point at)
{
    if (state.stored == rollout_state::succeeded)
        return true;
    if (state.step == rollout_step::waiting ||
        state.step == rollout_step::stopped || !is_fresh(state, at))
        return false;
    if (state.step == rollout_step::full ||
        (state.step == rollout_step::streams && streaming))
        return true;
    auto const own_new = total_of(state.book.own, true);
    auto const own_old = total_of(state.book.own, false);
    // The request itself is one of those that reach the service.
    auto const own_all = std::uint64_t{own_new.sent} + own_old.sent + 1;
    if (own_new.sent >= canary_allowance(own_all, age(state, at), state.length,
                                         state.routers, state.position,
                                         state.options.plan))
        return false;
    if (own_all < min_weighted_requests)
        return true;
    double routes = 0;
    double of_route = 0;
    for (auto const& [side, counts] : state.book.own)
    {
        routes += side.second ? 0 : 1;
        of_route += side.first == route ? counts.sent : 0;
    }
    return draw < route_weight(of_route, static_cast<double>(own_all), routes);
}

bool is_decided(rollout const& state)
{
    return is_final(state.stored);
}

duration slow_after(rollout const& state, std::uint64_t route, duration target)
{
    return std::max(slow_threshold(state.sum, route, state.options.slow_factor,
                                   state.options.min_timed, target),
                    state.options.min_slow);
}

request_totals totals_of(rollout const& state, time_point at)
{
    auto const tested = total_of(state.sum, true);
    auto const old = total_of(state.sum, false);
    auto const recent = counts_since(state.book, state.sum, rate_period, at);
    auto const recent_sent =
        total_of(recent, true).sent + total_of(recent, false).sent;
    std::chrono::duration<double> const passed = std::clamp<duration>(
        age(state, at), std::chrono::milliseconds{250}, rate_period);
    return {.all = static_cast<double>(tested.sent) + old.sent,
            .new_version = static_cast<double>(tested.sent),
            .per_second = recent_sent / passed.count()};
}

rollout_evidence make_evidence(rollout const& state, service_id const& service,
                               bool of_domain, time_point at)
{
    rollout_evidence evidence{
        .service = name_hash(service.value),
        .order = state.order,
        .state = state.stored.value_or(rollout_state::running),
        .age_ms = static_cast<std::uint32_t>(
            std::max<std::int64_t>(to_ms(age(state, at)), 0))};
    if (!is_decided(state))
        evidence.counts = of_domain ? to_list(domain_evidence(state.book))
                                    : counts_of_round(state);
    return evidence;
}

} // namespace bramleyarch::decisions
