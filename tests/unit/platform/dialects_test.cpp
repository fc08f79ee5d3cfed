/// Tests of requests and answers as the platform speaks them.
#include "common/digest.hpp"
#include "platform/backend_dialect.hpp"
#include "platform/front_dialect.hpp"
#include "platform/headers.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::platform;
using namespace std::chrono_literals;
using services::answer_kind;
using services::incoming_request;

namespace
{

time_point const received{1000s};

config::deployment sample()
{
    config::routing_rules rules{.version = 1, .needs_keys = true};
    rules.teams[sha256_hex("good")] = {.id = {"team"}, .rank = 4};
    rules.routes = {{.name = "short",
                     .host = "h.example",
                     .path_prefix = "/a/",
                     .timeout = 2s,
                     .max_attempts = 1,
                     .shares = {{{"one"}, 1}}},
                    {.name = "long",
                     .host = "h.example",
                     .path_prefix = "/a/b/",
                     .kind = request_kind::idempotent,
                     .streaming = true,
                     .resumable = true,
                     .timeout = 9s,
                     .max_attempts = 2,
                     .shares = {{{"two"}, 1}}},
                    {.name = "open",
                     .host = "h.example",
                     .path_prefix = "/open/",
                     .timeout = 2s,
                     .open = true,
                     .shares = {{{"one"}, 1}}}};
    return {.rules = std::make_shared<config::routing_rules const>(
                std::move(rules))};
}

result<routed_request> route(std::string target,
                             std::vector<header_field> headers)
{
    headers.push_back({"host", "H.example:8080"});
    return front_dialect().route(sample(), {.id = {1, 2},
                                            .method = "POST",
                                            .target = std::move(target),
                                            .headers = std::move(headers),
                                            .received = received});
}

header_field const key{"authorization", "Bearer good"};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_dialects)

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_decides)
{
    BOOST_TEST(route("/a/x", {key}).value().terms.route == "short");
    BOOST_TEST(route("/a/b/x?q=/z/", {key}).value().terms.route == "long");
    BOOST_TEST((route("/z/", {key}).error().kind == error_kind::not_found));
    BOOST_TEST((route("/a", {key}).error().kind == error_kind::not_found));
}

BOOST_AUTO_TEST_CASE(keys_name_the_team_and_stay_here)
{
    auto const routed = route("/a/x", {key, {"x-other", "kept"}}).value();
    BOOST_TEST(routed.team.value == "team");
    BOOST_TEST(routed.terms.rank == 4U);
    BOOST_TEST(find_header(routed.headers, "authorization").empty());
    BOOST_TEST(find_header(routed.headers, "x-other") == "kept");
    BOOST_TEST((route("/a/x", {}).error().kind == error_kind::unauthorized));
    BOOST_TEST((route("/a/x", {{"authorization", "Bearer bad"}}).error().kind ==
                error_kind::unauthorized));
    BOOST_TEST(route("/open/x", {}).has_value());
}

BOOST_AUTO_TEST_CASE(headers_of_the_system_are_never_the_callers)
{
    for (std::string const name :
         {"x-bramleyarch-tenant", "x-bramleyarch-expect-instance",
          "x-bramleyarch-hold", "x-bramleyarch-pin-ms",
          "x-bramleyarch-kv-backup", "kv-from"})
    {
        auto const routed = route("/a/x", {key, {name, "forged"}}).value();
        BOOST_TEST(find_header(routed.headers, name).empty(), name);
    }
}

BOOST_AUTO_TEST_CASE(headers_that_decide_must_not_stand_twice)
{
    for (std::string const name :
         {"x-bramleyarch-request-id", "x-bramleyarch-deadline-ms",
          "authorization", "x-bramleyarch-token-count"})
    {
        auto const routed =
            route("/a/x", {key, {name, "Bearer good"}, {name, "2"}});
        BOOST_TEST((routed.error().kind == error_kind::invalid_request), name);
    }
}

BOOST_AUTO_TEST_CASE(the_shorter_deadline_holds)
{
    auto const with = [](std::string ms)
    {
        return route("/a/x", {key, {"x-bramleyarch-deadline-ms", ms}})
            .value()
            .deadline;
    };
    BOOST_TEST((with("500") == received + 500ms));
    BOOST_TEST((with("5000") == received + 2s));
    BOOST_TEST((with("soon") == received + 2s));
}

BOOST_AUTO_TEST_CASE(prompts_are_read_part_by_part)
{
    auto const routed =
        route("/a/b/x", {key,
                         {"x-bramleyarch-prompt-prefix",
                          "5c1e07a2:800,bad,91bd3f06:410,e4402b7d:250"},
                         {"x-bramleyarch-token-count", "1460,80"},
                         {"last-event-id", "12"}})
            .value();
    BOOST_REQUIRE(routed.terms.prompt.size() == 3U);
    BOOST_TEST(routed.terms.prompt[1].id == 0x91bd3f06U);
    BOOST_TEST(routed.terms.prompt[1].tokens == 410U);
    BOOST_TEST(routed.terms.prompt_tokens == 1460U);
    BOOST_TEST(routed.terms.answer_tokens == 80U);
    BOOST_TEST(routed.resume_offset == 12U);
}

BOOST_AUTO_TEST_CASE(only_what_has_not_run_gets_a_promise)
{
    auto const status = [](error_kind kind, outcome known)
    {
        return front_dialect()
            .refuse({.cause = {kind, ""}, .known = known, .retry_after = 250ms})
            .status;
    };
    for (auto const& row : enum_names(error_kind{}))
    {
        for (auto const known : {outcome::unknown, outcome::failed})
        {
            auto const got = status(row.value, known);
            BOOST_TEST((got == 502 || got == 504), row.name);
        }
    }
    BOOST_TEST(status(error_kind::queue_full, outcome::not_run) == 503);
    BOOST_TEST(status(error_kind::deadline_exceeded, outcome::not_run) == 503);
    BOOST_TEST(status(error_kind::quarantined, outcome::not_run) == 503);
    BOOST_TEST(status(error_kind::unauthorized, outcome::not_run) == 401);
    BOOST_TEST(status(error_kind::not_found, outcome::not_run) == 404);
    auto const refused =
        front_dialect().refuse({.cause = {error_kind::queue_full, ""},
                                .known = outcome::not_run,
                                .retry_after = 250ms});
    BOOST_TEST(find_header(refused.headers, "retry-after") == "0.250");
}

BOOST_AUTO_TEST_CASE(attempts_carry_server_team_and_time)
{
    routed_request const request{
        .team = {"team"},
        .headers = {{"x-bramleyarch-deadline-ms", "9000"},
                    {"last-event-id", "3"}}};
    auto const headers = backend_dialect().make_attempt_headers(
        request, {.id = {"i-1"}},
        {.time_left = 1500ms,
         .resume_after = 8,
         .copy_from = endpoint{"10.0.0.2", 81}});
    BOOST_TEST(find_header(headers, "kv-fetch") == "10.0.0.2:81");
    BOOST_TEST(find_header(headers, "x-bramleyarch-deadline-ms") == "1500");
    BOOST_TEST(find_header(headers, "x-bramleyarch-expect-instance") == "i-1");
    BOOST_TEST(find_header(headers, "x-bramleyarch-tenant") == "team");
    BOOST_TEST(find_header(headers, "last-event-id") == "8");
}

BOOST_AUTO_TEST_CASE(answers_are_told_apart)
{
    routed_request request;
    request.terms.caller_id = "abc";
    auto const standing = [&](int status, std::vector<header_field> headers)
    { return backend_dialect().parse_head(request, status, headers).kind; };
    header_field const id{"x-bramleyarch-request-id", "abc"};
    header_field const other{"x-bramleyarch-request-id", "abd"};
    header_field const sign{"x-bramleyarch-response-signature", "s"};
    header_field const shed{"x-bramleyarch-not-executed", "1"};
    using a = answer_kind;
    BOOST_TEST((standing(200, {id, sign}) == a::genuine));
    BOOST_TEST((standing(200, {id}) == a::foreign));
    BOOST_TEST((standing(200, {sign}) == a::foreign));
    BOOST_TEST((standing(200, {other, sign}) == a::foreign));
    BOOST_TEST((standing(200, {id, sign, {"content-encoding", "gzip"}}) ==
                a::foreign));
    BOOST_TEST((standing(503, {id, shed}) == a::not_executed));
    BOOST_TEST((standing(421, {}) == a::misdirected));
    // Without the marker a failure may have run.
    BOOST_TEST((standing(503, {id, sign}) == a::genuine));
    BOOST_TEST((standing(500, {id, sign}) == a::genuine));
}

BOOST_AUTO_TEST_CASE(stated_loads_are_read_or_left)
{
    auto const load = parse_load("3,1,8");
    BOOST_REQUIRE(load);
    BOOST_TEST(load->running == 3U);
    BOOST_TEST(load->waiting == 1U);
    BOOST_TEST(load->slots == 8U);
    for (std::string const text :
         {"", "3", "3,1", "a,b,c", "3,1,8,9", "-1,0,8"})
        BOOST_TEST(!parse_load(text), text);
}

BOOST_AUTO_TEST_SUITE_END()
