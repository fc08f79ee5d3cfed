/// Exhaustive exploration of the claim protocol in a small model.
///
/// Two attempts of one key on different owners, a key-value service
/// whose replies can be lost and whose writes can be delayed past any later
/// event, owners that crash, callers that resend. Every step calls the
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

/// A mechanism switched off, to show that the check notices.
enum class flaw
{
    none,
    send_on_lost_reply,     ///< Treats an unknown write as applied.
    release_without_record, ///< Says not_run though a write is unresolved.
    release_by_erasing,     ///< Erases the record in place of marking it.
    claim_over_claim,       ///< Overwrites another holder's claim.
    same_serial,            ///< Lets a released value return.
};

/// Most writes of each attempt.
constexpr std::array<std::uint32_t, 2> max_writes{4, 3};

struct attempt_model
{
    claim_attempt t;
    bool started = false;
    bool crashed = false;
    bool sent = false; ///< Left for the backend server.
    bool told_not_run = false;
    bool finished = false;
    std::uint32_t writes = 0;
    std::optional<claim_write> outstanding;

    auto operator<=>(attempt_model const&) const = default;
};

/// A write whose sender no longer waits for it.
struct delayed_write
{
    claim_write write;

    auto operator<=>(delayed_write const&) const = default;
};

struct world
{
    std::optional<claim_record> record;
    std::vector<attempt_model> attempts;
    std::vector<delayed_write> delayed;

    auto operator<=>(world const&) const = default;
};

claim_write_reply store(world& w, claim_write const& write, flaw broken)
{
    bool const overwrite = broken == flaw::claim_over_claim &&
                           write.desired.phase == claim_phase::claimed;
    if (!overwrite && w.record != write.expected)
        return {claim_write_result::rejected, w.record};
    w.record = write.desired;
    if (broken == flaw::release_by_erasing &&
        write.desired.phase == claim_phase::released)
    {
        w.record = std::nullopt;
    }
    return {claim_write_result::applied, std::nullopt};
}

using visit = std::function<void(world)>;

void step_outstanding(world const& w, std::size_t i, flaw broken,
                      visit const& go)
{
    auto const write = *w.attempts[i].outstanding;
    auto const finish = [&](world next, claim_write_reply const& reply)
    {
        auto& a = next.attempts[i];
        a.outstanding.reset();
        apply_reply(a.t, write, reply);
        if (broken == flaw::send_on_lost_reply &&
            reply.result == claim_write_result::lost &&
            a.t.stage == claim_stage::claiming)
        {
            a.t.stage = claim_stage::won;
        }
        go(std::move(next));
    };
    claim_write_reply const lost{claim_write_result::lost, std::nullopt};
    {
        world next = w;
        auto const reply = store(next, write, broken);
        finish(next, reply);
        finish(next, lost);
    }
    finish(w, {claim_write_result::not_sent, std::nullopt});
    {
        world next = w;
        next.delayed.push_back({write});
        std::sort(next.delayed.begin(), next.delayed.end());
        finish(std::move(next), lost);
    }
}

void step_settled(world const& w, std::size_t i, visit const& go)
{
    auto const& a = w.attempts[i];
    if (a.t.stage == claim_stage::won && !a.sent)
    {
        world next = w;
        next.attempts[i].sent = true;
        go(std::move(next));
    }
    if (a.sent && !a.finished)
    {
        world next = w;
        next.attempts[i].finished = true;
        next.record = finished_record(a.t.attempt, outcome::answered);
        go(std::move(next));
    }
    if (a.t.stage == claim_stage::released && !a.told_not_run)
    {
        world next = w;
        next.attempts[i].told_not_run = true;
        go(std::move(next));
    }
}

void step_attempt(world const& w, std::size_t i, flaw broken, visit const& go)
{
    auto const& a = w.attempts[i];
    if (!a.started)
    {
        world next = w;
        next.attempts[i].started = true;
        go(std::move(next));
        return;
    }
    if (a.crashed)
        return;
    {
        world next = w;
        auto& crashed = next.attempts[i];
        crashed.crashed = true;
        if (crashed.outstanding)
            next.delayed.push_back({*crashed.outstanding});
        std::sort(next.delayed.begin(), next.delayed.end());
        crashed.outstanding.reset();
        go(std::move(next));
    }
    if (a.outstanding)
    {
        step_outstanding(w, i, broken, go);
        return;
    }
    step_settled(w, i, go);
    auto const write = next_write(a.t);
    if (write && a.writes < max_writes.at(i))
    {
        world next = w;
        auto& sender = next.attempts[i];
        record_sent_write(sender.t, *write);
        if (broken == flaw::same_serial)
            sender.t.serial = 0;
        sender.outstanding = write;
        ++sender.writes;
        go(std::move(next));
    }
    bool const can_give_up = !a.sent && (a.t.stage == claim_stage::claiming ||
                                         a.t.stage == claim_stage::won);
    if (can_give_up)
    {
        world next = w;
        auto& t = next.attempts[i].t;
        begin_release(t);
        if (broken == flaw::release_without_record)
            t.stage = claim_stage::released;
        go(std::move(next));
    }
}

void step_delayed(world const& w, flaw broken, visit const& go)
{
    for (std::size_t i = 0; i < w.delayed.size(); ++i)
    {
        world next = w;
        auto const write = next.delayed[i].write;
        next.delayed.erase(next.delayed.begin() +
                           static_cast<std::ptrdiff_t>(i));
        go(next);
        store(next, write, broken);
        go(std::move(next));
    }
}

/// Name of the invariant that `w` breaks; empty when none.
std::string violation(world const& w)
{
    auto const runs = std::count_if(w.attempts.begin(), w.attempts.end(),
                                    [](auto const& a) { return a.sent; });
    if (runs > 1)
        return "ran twice";
    for (auto const& a : w.attempts)
    {
        if (!a.told_not_run)
            continue;
        if (a.sent)
            return "not_run was false";
        bool const blocks = w.record &&
                            w.record->phase == claim_phase::claimed &&
                            w.record->holder == a.t.attempt;
        if (blocks)
            return "the key stays blocked after not_run";
    }
    return {};
}

struct exploration
{
    std::size_t states = 0;
    std::string violated;
};

exploration explore(flaw broken)
{
    world start;
    for (std::size_t i = 0; i < max_writes.size(); ++i)
        start.attempts.push_back({.t = begin_claim({{i + 1, 1}, 1})});
    std::set<world> seen{start};
    std::vector<world> open{start};
    exploration result;
    while (!open.empty())
    {
        world const w = std::move(open.back());
        open.pop_back();
        ++result.states;
        result.violated = violation(w);
        if (!result.violated.empty())
            return result;
        auto const go = [&](world next)
        {
            if (seen.insert(next).second)
                open.push_back(std::move(next));
        };
        for (std::size_t i = 0; i < w.attempts.size(); ++i)
            step_attempt(w, i, broken, go);
        step_delayed(w, broken, go);
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(claim_model)

BOOST_AUTO_TEST_CASE(two_owners_never_run_a_key_twice)
{
    auto const found = explore(flaw::none);
    BOOST_TEST_MESSAGE("states explored: " << found.states);
    BOOST_TEST(found.violated == "");
    BOOST_TEST(found.states > 1000U);
}

BOOST_AUTO_TEST_CASE(each_mechanism_switched_off_is_noticed)
{
    for (auto const broken :
         {flaw::send_on_lost_reply, flaw::release_without_record,
          flaw::release_by_erasing, flaw::claim_over_claim, flaw::same_serial})
    {
        auto const found = explore(broken);
        BOOST_TEST_MESSAGE("flaw " << static_cast<int>(broken) << ": "
                                   << found.violated << " after "
                                   << found.states << " states");
        BOOST_TEST(found.violated != "");
    }
}

BOOST_AUTO_TEST_SUITE_END()
