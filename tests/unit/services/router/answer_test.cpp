/// Answers: order, late and duplicate replies, retries, resumption, deadlines.
#include "fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace bramleyarch;
using namespace bramleyarch::test;
using namespace std::chrono_literals;

namespace
{

std::size_t entry_of(request_id id)
{
    return static_cast<std::size_t>(id.entry - 1);
}

/// Sends a reply to the entry router as if from the request's owner.
void reply_as_owner(fleet& f, request_id id, server_id const& server,
                    services::owner_reply reply)
{
    auto const owner = f.routers[owner_index(f, server)].id;
    tell<services::routing_message>(
        f.routers[entry_of(id)], services::service_name::routing,
        services::owner_reply_received{owner, std::move(reply)});
    settle(f);
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_answers)

BOOST_AUTO_TEST_CASE(every_caller_gets_its_whole_answer)
{
    auto f = make_fleet();
    run_load(*f, {.rate = 100, .end_rate = 100, .length = 3s});
    drain_load(*f);
    BOOST_TEST(f->answers.size() > 200U);
    for (auto const& [id, answer] : f->answers)
    {
        BOOST_REQUIRE(answer.answered);
        BOOST_REQUIRE(answer.heads == 1);
        BOOST_REQUIRE(answer.body == expected_body(*f));
    }
}

BOOST_AUTO_TEST_CASE(late_and_foreign_replies_are_dropped_and_counted)
{
    auto f = make_fleet();
    auto const server = server_owned_elsewhere(*f, 0);
    auto const id = submit(*f, 0, {.chat = chat_for(*f, server)});
    pass_time(*f, 5ms);
    attempt_id const former{id, 99};
    reply_as_owner(*f, id, server,
                   answer_chunk{.attempt = former, .bytes = "wrong"});
    reply_as_owner(*f, {id.entry, 12345}, server,
                   answer_end{.attempt = {{id.entry, 12345}, 1}});
    drain_load(*f);
    BOOST_TEST(f->answers[id].answered);
    BOOST_TEST(f->answers[id].body == expected_body(*f));
    pass_time(*f, 2s);
    BOOST_TEST(value_of(f->counted, counter::late_answers_dropped) == 2U);
}

BOOST_AUTO_TEST_CASE(a_gap_in_the_sequence_never_reaches_the_caller)
{
    auto f = make_fleet();
    auto const server = server_owned_elsewhere(*f, 0);
    auto const id = submit(*f, 0, {.chat = chat_for(*f, server)});
    while (f->answers[id].chunks < 1)
        pass_time(*f, 1ms);
    reply_as_owner(
        *f, id, server,
        answer_chunk{.attempt = {id, 1}, .sequence = 7, .bytes = "wrong"});
    drain_load(*f);
    // Idempotent and resumable: it is completed without an error.
    BOOST_TEST(f->answers[id].answered);
    BOOST_TEST(f->answers[id].body == expected_body(*f));
    pass_time(*f, 2s);
    BOOST_TEST(value_of(f->counted, counter::sequence_gaps) == 1U);
    BOOST_TEST(value_of(f->counted, counter::resumes) == 1U);
}

BOOST_AUTO_TEST_CASE(an_owner_lost_before_the_first_byte_costs_a_retry)
{
    auto f = make_fleet();
    auto const server = server_owned_elsewhere(*f, 0);
    auto const owner = owner_index(*f, server);
    auto const id = submit(*f, 0, {.chat = chat_for(*f, server)});
    pass_time(*f, 10ms);
    BOOST_TEST(f->servers[server].running == 1U);
    kill_router(*f, owner);
    drain_load(*f);
    BOOST_TEST(f->answers[id].answered);
    BOOST_TEST(explains(*f, id, event_kind::retry_started, "owner_lost"));
}

BOOST_AUTO_TEST_CASE(a_lost_owner_costs_nothing_of_the_retry_budget)
{
    // Far more requests at once than the budget has retries.
    constexpr int requests = 40;
    auto f = make_fleet({.routing = {.retries = {.initial_retries = 0}}});
    auto const server = server_owned_elsewhere(*f, 0);
    auto const owner = owner_index(*f, server);
    for (int i = 0; i < requests; ++i)
        submit(*f, 0, {.chat = chat_for(*f, server)});
    pass_time(*f, 10ms);
    kill_router(*f, owner);
    drain_load(*f);
    for (auto const& [id, answer] : f->answers)
        BOOST_TEST(answer.answered, to_name(answer.error));
    pass_time(*f, 2s);
    BOOST_TEST(value_of(f->counted, counter::losses_retried) > 0U);
    BOOST_TEST(value_of(f->counted, counter::retries_denied) == 0U);
}

BOOST_AUTO_TEST_CASE(an_owner_that_is_reached_again_is_offered_to_at_once)
{
    auto f = make_fleet();
    auto const server = server_owned_elsewhere(*f, 0);
    auto const owner = f->routers[owner_index(*f, server)].id;
    auto& entry = f->routers[0];
    tell<services::routing_message>(entry, services::service_name::routing,
                                    services::link_lost{owner});
    tell<services::routing_message>(entry, services::service_name::routing,
                                    services::link_opened{owner});
    auto const id = submit(*f, 0, {.chat = chat_for(*f, server)});
    drain_load(*f);
    BOOST_TEST(f->answers[id].answered);
    BOOST_TEST((f->answers[id].server == server));
}

BOOST_AUTO_TEST_CASE(a_lost_link_loses_its_own_attempts_only)
{
    auto f = make_fleet();
    auto const server = server_owned_elsewhere(*f, 0);
    auto const owner = f->routers[owner_index(*f, server)].id;
    auto const id = submit(*f, 0, {.chat = chat_for(*f, server)});
    pass_time(*f, 10ms);
    services::link_lost const former{owner, std::vector{attempt_id{id, 99}}};
    tell<services::routing_message>(f->routers[0],
                                    services::service_name::routing, former);
    drain_load(*f);
    BOOST_TEST(f->answers[id].answered);
    BOOST_TEST(!explains(*f, id, event_kind::retry_started, "owner_lost"));
}

BOOST_AUTO_TEST_CASE(an_owner_lost_in_mid_answer_costs_no_error)
{
    auto f = make_fleet();
    auto const server = server_owned_elsewhere(*f, 0);
    auto const owner = owner_index(*f, server);
    auto const id = submit(*f, 0, {.chat = chat_for(*f, server)});
    while (f->answers[id].chunks < 2)
        pass_time(*f, 1ms);
    kill_router(*f, owner);
    pass_time(*f, 1500ms);
    BOOST_TEST(!f->answers[id].ended);
    std::vector<bool> live(f->routers.size(), true);
    live[owner] = false;
    show_members(*f, live);
    drain_load(*f);
    BOOST_TEST(f->answers[id].answered);
    BOOST_TEST(f->answers[id].heads == 1);
    BOOST_TEST(f->answers[id].body == expected_body(*f));
}

BOOST_AUTO_TEST_CASE(a_caller_that_resumes_gets_the_rest_across_a_lost_owner)
{
    auto f = make_fleet();
    auto const server = server_owned_elsewhere(*f, 0);
    auto const owner = owner_index(*f, server);
    auto const offset = f->part_size;
    auto const id =
        submit(*f, 0, {.chat = chat_for(*f, server), .resume_offset = offset});
    while (f->answers[id].chunks < 2)
        pass_time(*f, 1ms);
    kill_router(*f, owner);
    std::vector<bool> live(f->routers.size(), true);
    live[owner] = false;
    show_members(*f, live);
    drain_load(*f);
    BOOST_TEST(f->answers[id].answered);
    BOOST_TEST(f->answers[id].body == expected_body(*f).substr(offset));
}

BOOST_AUTO_TEST_CASE(an_entry_that_is_gone_has_its_attempts_aborted)
{
    auto f = make_fleet();
    auto const server = server_owned_elsewhere(*f, 0);
    auto const id = submit(*f, 0, {.chat = chat_for(*f, server)});
    pass_time(*f, 10ms);
    kill_router(*f, 0);
    settle(*f);
    BOOST_TEST(f->aborted.contains({id, 1}));
    BOOST_TEST(f->servers[server].running == 0U);
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_stops_the_server)
{
    auto f = make_fleet();
    auto const id = submit(*f, 0, {.chat = 3});
    pass_time(*f, 10ms);
    BOOST_TEST(f->open.size() == 1U);
    tell<services::routing_message>(f->routers[0],
                                    services::service_name::routing,
                                    services::cancel_request{id});
    pass_time(*f, 2ms);
    BOOST_TEST(f->open.empty());
    BOOST_TEST(f->aborted.contains({id, 1}));
}

BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget_when_every_server_fails)
{
    fleet_options options;
    options.owner.breaker.failures_to_open = 1'000'000;
    auto f = make_fleet(options);
    for (auto& [id, server] : f->servers)
        server.refuses = true;
    run_load(*f, {.rate = 400, .end_rate = 400, .length = 5s});
    drain_load(*f);
    auto const requests = static_cast<double>(f->answers.size());
    auto const sent = static_cast<double>(f->dispatched);
    BOOST_TEST_MESSAGE("sent " << sent / requests << " per request");
    // Each router starts with two retries for the team.
    auto const initial = 2.0 * static_cast<double>(f->routers.size());
    BOOST_TEST(sent <= requests * 1.1 + initial);
    BOOST_TEST(sent > requests);
    for (auto const& [id, answer] : f->answers)
        BOOST_REQUIRE((answer.known == outcome::not_run));
}

BOOST_AUTO_TEST_CASE(a_refusing_server_is_left_alone_and_taken_back)
{
    auto f = make_fleet();
    server_id const server{"engine-2"};
    f->servers[server].refuses = true;
    run_load(*f, {.rate = 100, .end_rate = 100, .length = 3s});
    BOOST_TEST(count_events(*f, event_kind::breaker_opened) > 0U);
    f->servers[server].refuses = false;
    run_load(*f, {.rate = 100, .end_rate = 100, .length = 12s});
    drain_load(*f);
    BOOST_TEST(f->servers[server].answered > 0U);
    BOOST_TEST(count_events(*f, event_kind::breaker_closed) > 0U);
    BOOST_TEST(answered_share(*f, {"crews"}) >= 0.99);
}

BOOST_AUTO_TEST_CASE(a_deadline_in_the_queue_ends_as_not_run)
{
    fleet_options options{
        .routers = 1, .domains = 1, .servers = 1, .capacity = 1};
    auto f = make_fleet(options);
    f->servers.begin()->second.service_time = 4s;
    submit(*f, 0, {.chat = 1});
    auto const waits = submit(*f, 0, {.chat = 1, .deadline = f->at + 300ms});
    drain_load(*f);
    auto const& answer = f->answers[waits];
    BOOST_TEST((answer.error == error_kind::deadline_exceeded));
    BOOST_TEST((answer.known == outcome::not_run));
    BOOST_TEST(f->servers.begin()->second.ran.size() == 1U);
    BOOST_TEST(explains(*f, waits, event_kind::offer_queued, "1 waiting"));
    BOOST_TEST(
        explains(*f, waits, event_kind::request_refused, "deadline_exceeded"));
}

BOOST_AUTO_TEST_CASE(a_full_queue_refuses_with_a_time_to_come_back)
{
    fleet_options options{
        .routers = 1, .domains = 1, .servers = 1, .capacity = 1};
    auto f = make_fleet(options);
    f->config.limits.queue_per_server = 2;
    apply_config(*f);
    std::vector<request_id> ids;
    for (int i = 0; i < 5; ++i)
        ids.push_back(submit(*f, 0, {.chat = 1}));
    drain_load(*f);
    std::vector<duration> hints;
    for (auto const& id : ids)
    {
        if (f->answers[id].answered)
            continue;
        BOOST_TEST((f->answers[id].error == error_kind::queue_full));
        BOOST_TEST((f->answers[id].known == outcome::not_run));
        hints.push_back(f->answers[id].retry_after);
    }
    BOOST_REQUIRE(hints.size() == 2U);
    BOOST_TEST(to_ms(hints[0]) > 0);
    BOOST_TEST((hints[0] != hints[1])); // Jitter.
}

BOOST_AUTO_TEST_CASE(a_closed_request_is_tried_alone)
{
    // Without the bound the server takes a second request beside the first.
    auto f = make_fleet(
        {.cold_capacity = 4, .owner = {.admission = {.bound_enabled = false}}});
    auto const server = server_owned_elsewhere(*f, 0);
    // Wherever the retry goes, another request runs.
    for (auto const& any : f->config.services[0].servers)
        submit(*f, 0, {.chat = chat_for(*f, any.id)});
    pass_time(*f, 5ms);
    auto const second = submit(*f, 0, {.chat = chat_for(*f, server)});
    pass_time(*f, 5ms);
    BOOST_REQUIRE(f->servers[server].running == 2U);
    close_attempts(*f, server);
    drain_load(*f);
    for (auto const& [id, answer] : f->answers)
        BOOST_TEST(answer.answered);
    // It began beside another one; only its second attempt can be alone.
    BOOST_TEST(
        explains(*f, second, event_kind::offer_admitted, "1 in flight of"));
}

BOOST_AUTO_TEST_CASE(a_body_that_kills_servers_takes_down_at_most_two)
{
    auto f = make_fleet();
    f->poison = 666;
    auto const body = std::make_shared<std::string const>("666");
    run_load(*f, {.rate = 60, .end_rate = 60, .length = 1s});
    for (int i = 0; i < 6; ++i)
    {
        submit(*f, static_cast<std::size_t>(i) % f->routers.size(),
               {.chat = 5, .body = body, .body_fingerprint = 666});
        run_load(*f, {.rate = 60, .end_rate = 60, .length = 2s});
    }
    drain_load(*f);
    std::uint32_t died = 0;
    for (auto const& [id, server] : f->servers)
        died += server.fell_over;
    BOOST_TEST_MESSAGE("servers that died: " << died);
    BOOST_TEST(died <= 2U);
    BOOST_TEST(count_events(*f, event_kind::body_quarantined) > 0U);
    for (auto const& e : f->events)
    {
        if (e.kind == event_kind::body_quarantined)
            BOOST_TEST(e.cause == "body 000000000000029a was in flight");
    }
}

BOOST_AUTO_TEST_SUITE_END()
