/// Exhaustive exploration of a small model of the claim protocol.
///
/// Two owners each run an attempt of the same key. Replies of the key-value
/// service can be lost, and its writes can be delayed past any later event.
/// Owners can crash, and callers send a request again. Each step calls the
/// functions that the claims service calls.
#include "decisions/claims.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <vector>

using namespace bramleyarch;
using namespace bramleyarch::decisions;

namespace
{

/// A fault put into the protocol. Exploring with it shows that the check of the
/// invariants detects it.
enum class fault
{
    none,
    send_on_lost_reply,     ///< Treats a write without a reply as applied.
    release_without_record, ///< Reports not_run while a write is unresolved.
    release_by_erasing,     ///< Erases the record instead of marking it.
    claim_over_claim,       ///< Overwrites the claim of another holder.
    same_serial,            ///< Lets a value that was released occur again.
};

/// Maximum number of writes of each attempt, which bounds the exploration.
constexpr std::array<std::uint32_t, 2> max_writes{4, 3};

struct attempt_model
{
    claim_attempt claim;
    bool started = false;
    bool crashed = false;
    bool sent = false; ///< Sent to the backend server.
    bool reported_not_run = false;
    bool finished = false;
    std::uint32_t writes = 0;
    std::optional<claim_write> outstanding;

    auto operator<=>(attempt_model const&) const = default;
};

/// A write that may still be applied and whose sender does not wait for it.
struct delayed_write
{
    claim_write write;

    auto operator<=>(delayed_write const&) const = default;
};

struct model_state
{
    std::optional<claim_record> record;
    std::vector<attempt_model> attempts;
    std::vector<delayed_write> delayed;

    auto operator<=>(model_state const&) const = default;
};

claim_write_reply apply_write(model_state& state, claim_write const& write,
                              fault injected)
{
    bool const overwrite = injected == fault::claim_over_claim &&
                           write.desired.phase == claim_phase::claimed;
    if (!overwrite && state.record != write.expected)
        return {claim_write_result::rejected, state.record};
    state.record = write.desired;
    if (injected == fault::release_by_erasing &&
        write.desired.phase == claim_phase::released)
    {
        state.record = std::nullopt;
    }
    return {claim_write_result::applied, std::nullopt};
}

using visitor = std::function<void(model_state)>;

void step_outstanding(model_state const& state, std::size_t i, fault injected,
                      visitor const& visit)
{
    auto const write = *state.attempts[i].outstanding;
    auto const finish = [&](model_state next, claim_write_reply const& reply)
    {
        auto& attempt = next.attempts[i];
        attempt.outstanding.reset();
        apply_reply(attempt.claim, write, reply);
        if (injected == fault::send_on_lost_reply &&
            reply.result == claim_write_result::lost &&
            attempt.claim.stage == claim_stage::claiming)
        {
            attempt.claim.stage = claim_stage::won;
        }
        visit(std::move(next));
    };
    claim_write_reply const lost{claim_write_result::lost, std::nullopt};
    {
        model_state next = state;
        auto const reply = apply_write(next, write, injected);
        finish(next, reply);
        finish(next, lost);
    }
    finish(state, {claim_write_result::not_sent, std::nullopt});
    {
        model_state next = state;
        next.delayed.push_back({write});
        std::sort(next.delayed.begin(), next.delayed.end());
        finish(std::move(next), lost);
    }
}

void step_outcome(model_state const& state, std::size_t i, visitor const& visit)
{
    auto const& attempt = state.attempts[i];
    if (attempt.claim.stage == claim_stage::won && !attempt.sent)
    {
        model_state next = state;
        next.attempts[i].sent = true;
        visit(std::move(next));
    }
    if (attempt.sent && !attempt.finished)
    {
        model_state next = state;
        next.attempts[i].finished = true;
        next.record = finished_record(attempt.claim.attempt, outcome::answered);
        visit(std::move(next));
    }
    if (attempt.claim.stage == claim_stage::released &&
        !attempt.reported_not_run)
    {
        model_state next = state;
        next.attempts[i].reported_not_run = true;
        visit(std::move(next));
    }
}

void step_attempt(model_state const& state, std::size_t i, fault injected,
                  visitor const& visit)
{
    auto const& attempt = state.attempts[i];
    if (!attempt.started)
    {
        model_state next = state;
        next.attempts[i].started = true;
        visit(std::move(next));
        return;
    }
    if (attempt.crashed)
        return;
    {
        model_state next = state;
        auto& crashed = next.attempts[i];
        crashed.crashed = true;
        if (crashed.outstanding)
            next.delayed.push_back({*crashed.outstanding});
        std::sort(next.delayed.begin(), next.delayed.end());
        crashed.outstanding.reset();
        visit(std::move(next));
    }
    if (attempt.outstanding)
    {
        step_outstanding(state, i, injected, visit);
        return;
    }
    step_outcome(state, i, visit);
    auto const write = next_write(attempt.claim);
    if (write && attempt.writes < max_writes.at(i))
    {
        model_state next = state;
        auto& sender = next.attempts[i];
        record_sent_write(sender.claim, *write);
        if (injected == fault::same_serial)
            sender.claim.serial = 0;
        sender.outstanding = write;
        ++sender.writes;
        visit(std::move(next));
    }
    bool const can_release =
        !attempt.sent && (attempt.claim.stage == claim_stage::claiming ||
                          attempt.claim.stage == claim_stage::won);
    if (can_release)
    {
        model_state next = state;
        auto& claim = next.attempts[i].claim;
        begin_release(claim);
        if (injected == fault::release_without_record)
            claim.stage = claim_stage::released;
        visit(std::move(next));
    }
}

void step_delayed(model_state const& state, fault injected,
                  visitor const& visit)
{
    for (std::size_t i = 0; i < state.delayed.size(); ++i)
    {
        model_state next = state;
        auto const write = next.delayed[i].write;
        next.delayed.erase(next.delayed.begin() +
                           static_cast<std::ptrdiff_t>(i));
        visit(next);
        apply_write(next, write, injected);
        visit(std::move(next));
    }
}

/// Returns the invariant that the state violates, or an empty string.
std::string find_violation(model_state const& state)
{
    auto const runs =
        std::count_if(state.attempts.begin(), state.attempts.end(),
                      [](auto const& attempt) { return attempt.sent; });
    if (runs > 1)
        return "the key ran twice";
    for (auto const& attempt : state.attempts)
    {
        if (!attempt.reported_not_run)
            continue;
        if (attempt.sent)
            return "an attempt that ran was reported as not_run";
        bool const blocked = state.record &&
                             state.record->phase == claim_phase::claimed &&
                             state.record->holder == attempt.claim.attempt;
        if (blocked)
            return "the key stays claimed after not_run";
    }
    return {};
}

struct exploration
{
    std::size_t states = 0;
    std::string violated;
};

exploration explore(fault injected)
{
    model_state start;
    for (std::size_t i = 0; i < max_writes.size(); ++i)
        start.attempts.push_back({.claim = begin_claim({{i + 1, 1}, 1})});
    std::set<model_state> seen{start};
    std::vector<model_state> unvisited{start};
    exploration result;
    while (!unvisited.empty())
    {
        model_state const state = std::move(unvisited.back());
        unvisited.pop_back();
        ++result.states;
        result.violated = find_violation(state);
        if (!result.violated.empty())
            return result;
        auto const visit = [&](model_state next)
        {
            if (seen.insert(next).second)
                unvisited.push_back(std::move(next));
        };
        for (std::size_t i = 0; i < state.attempts.size(); ++i)
            step_attempt(state, i, injected, visit);
        step_delayed(state, injected, visit);
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(claim_model)

BOOST_AUTO_TEST_CASE(two_owners_never_run_a_key_twice)
{
    auto const found = explore(fault::none);
    BOOST_TEST_MESSAGE("states explored: " << found.states);
    BOOST_TEST(found.violated == "");
    BOOST_TEST(found.states > 1000U);
}

BOOST_AUTO_TEST_CASE(each_injected_fault_is_detected)
{
    for (auto const injected :
         {fault::send_on_lost_reply, fault::release_without_record,
          fault::release_by_erasing, fault::claim_over_claim,
          fault::same_serial})
    {
        auto const found = explore(injected);
        BOOST_TEST_MESSAGE("fault " << static_cast<int>(injected) << ": "
                                    << found.violated << " after "
                                    << found.states << " states");
        BOOST_TEST(found.violated != "");
    }
}

BOOST_AUTO_TEST_SUITE_END()
