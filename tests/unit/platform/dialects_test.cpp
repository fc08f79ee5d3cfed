/// Tests of the platform's front dialect, backend dialect and header values.
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

config::deployment sample_deployment()
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
    return front_dialect().route(sample_deployment(),
                                 {.id = {1, 2},
                                  .method = "POST",
                                  .target = std::move(target),
                                  .headers = std::move(headers),
                                  .received = received});
}

header_field const valid_key{"authorization", "Bearer good"};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_dialects)

BOOST_AUTO_TEST_CASE(the_longest_matching_prefix_selects_the_route)
{
    BOOST_TEST(route("/a/x", {valid_key}).value().terms.route == "short");
    BOOST_TEST(route("/a/b/x?q=/z/", {valid_key}).value().terms.route ==
               "long");
    BOOST_TEST(
        (route("/z/", {valid_key}).error().kind == error_kind::not_found));
    BOOST_TEST(
        (route("/a", {valid_key}).error().kind == error_kind::not_found));
}

BOOST_AUTO_TEST_CASE(keys_identify_the_team_and_are_not_forwarded)
{
    auto const routed = route("/a/x", {valid_key, {"x-other", "kept"}}).value();
    BOOST_TEST(routed.team.value == "team");
    BOOST_TEST(routed.terms.rank == 4U);
    BOOST_TEST(find_header(routed.headers, "authorization").empty());
    BOOST_TEST(find_header(routed.headers, "x-other") == "kept");
    BOOST_TEST((route("/a/x", {}).error().kind == error_kind::unauthorized));
    BOOST_TEST((route("/a/x", {{"authorization", "Bearer bad"}}).error().kind ==
                error_kind::unauthorized));
    BOOST_TEST(route("/open/x", {}).has_value());
}

BOOST_AUTO_TEST_CASE(reserved_headers_of_callers_are_removed)
{
    for (std::string const name :
         {"x-bramleyarch-tenant", "x-bramleyarch-expect-instance",
          "x-bramleyarch-hold", "x-bramleyarch-pin-ms",
          "x-bramleyarch-kv-backup", "kv-from"})
    {
        auto const routed =
            route("/a/x", {valid_key, {name, "forged"}}).value();
        BOOST_TEST(find_header(routed.headers, name).empty(), name);
    }
}

BOOST_AUTO_TEST_CASE(repeated_control_headers_are_rejected)
{
    for (std::string const name :
         {"x-bramleyarch-request-id", "x-bramleyarch-deadline-ms",
          "authorization", "x-bramleyarch-token-count"})
    {
        auto const routed =
            route("/a/x", {valid_key, {name, "Bearer good"}, {name, "2"}});
        BOOST_TEST((routed.error().kind == error_kind::invalid_request), name);
    }
}

BOOST_AUTO_TEST_CASE(the_shorter_deadline_applies)
{
    auto const deadline_with = [](std::string milliseconds)
    {
        return route("/a/x",
                     {valid_key, {"x-bramleyarch-deadline-ms", milliseconds}})
            .value()
            .deadline;
    };
    BOOST_TEST((deadline_with("500") == received + 500ms));
    BOOST_TEST((deadline_with("5000") == received + 2s));
    BOOST_TEST((deadline_with("soon") == received + 2s));
    // Beyond what a time can hold.
    BOOST_TEST((deadline_with("9300000000000") == received + 2s));
    BOOST_TEST((deadline_with("18446744073709551615") == received + 2s));
}

BOOST_AUTO_TEST_CASE(malformed_prompt_parts_are_skipped)
{
    auto const routed =
        route("/a/b/x", {valid_key,
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

// A hint beyond the maximum must not make a request look larger than it is.
BOOST_AUTO_TEST_CASE(expected_answer_tokens_are_bounded_by_the_maximum)
{
    auto const expected = [](std::string hint, std::string count)
    {
        return route("/a/x", {valid_key,
                              {"x-bramleyarch-length-hint", hint},
                              {"x-bramleyarch-token-count", count}})
            .value()
            .terms.expected_answer_tokens;
    };
    BOOST_TEST(expected("50", "1460,80") == 50U);
    BOOST_TEST(expected("500", "1460,80") == 80U);
    BOOST_TEST(expected("long", "1460,80") == 80U);
    BOOST_TEST(expected("500", "1460") == 500U);
    BOOST_TEST(expected("", "") == 0U);
}

BOOST_AUTO_TEST_CASE(only_requests_that_have_not_run_get_guaranteeing_statuses)
{
    auto const status = [](error_kind kind, outcome known)
    {
        return front_dialect()
            .make_refusal({.cause = {kind, ""},
                           .known_outcome = known,
                           .retry_after = 250ms})
            .status;
    };
    for (auto const& row : enum_names(error_kind{}))
    {
        for (auto const known : {outcome::unknown, outcome::failed})
        {
            auto const actual = status(row.value, known);
            BOOST_TEST((actual == 502 || actual == 504), row.name);
        }
    }
    BOOST_TEST(status(error_kind::queue_full, outcome::not_run) == 503);
    BOOST_TEST(status(error_kind::deadline_exceeded, outcome::not_run) == 503);
    BOOST_TEST(status(error_kind::quarantined, outcome::not_run) == 503);
    BOOST_TEST(status(error_kind::unauthorized, outcome::not_run) == 401);
    BOOST_TEST(status(error_kind::not_found, outcome::not_run) == 404);
    auto const refused =
        front_dialect().make_refusal({.cause = {error_kind::queue_full, ""},
                                      .known_outcome = outcome::not_run,
                                      .retry_after = 250ms});
    BOOST_TEST(find_header(refused.headers, "retry-after") == "0.250");
}

BOOST_AUTO_TEST_CASE(attempt_headers_contain_server_team_and_deadline)
{
    routed_request const request{
        .team = {"team"},
        .headers = {{"x-bramleyarch-deadline-ms", "9000"},
                    {"last-event-id", "3"}}};
    auto const headers = backend_dialect().make_attempt_headers(
        request, {.id = {"i-1"}},
        {.time_left = 1500ms,
         .resume_after = 8,
         .copy_from = endpoint{"10.0.0.2", 81},
         .priority = 3});
    BOOST_TEST(find_header(headers, "x-bramleyarch-request-priority") == "3");
    BOOST_TEST(find_header(headers, "kv-fetch") == "10.0.0.2:81");
    BOOST_TEST(find_header(headers, "x-bramleyarch-deadline-ms") == "1500");
    BOOST_TEST(find_header(headers, "x-bramleyarch-expect-instance") == "i-1");
    BOOST_TEST(find_header(headers, "x-bramleyarch-tenant") == "team");
    BOOST_TEST(find_header(headers, "last-event-id") == "8");
}

BOOST_AUTO_TEST_CASE(answers_are_classified_by_status_and_headers)
{
    routed_request request;
    request.terms.caller_id = "abc";
    auto const classify = [&](int status, std::vector<header_field> headers)
    { return backend_dialect().parse_head(request, status, headers).kind; };
    header_field const id{"x-bramleyarch-request-id", "abc"};
    header_field const other_id{"x-bramleyarch-request-id", "abd"};
    header_field const signature{"x-bramleyarch-response-signature", "s"};
    header_field const not_executed{"x-bramleyarch-not-executed", "1"};
    BOOST_TEST((classify(200, {id, signature}) == answer_kind::genuine));
    BOOST_TEST((classify(200, {id}) == answer_kind::foreign));
    BOOST_TEST((classify(200, {signature}) == answer_kind::foreign));
    BOOST_TEST((classify(200, {other_id, signature}) == answer_kind::foreign));
    BOOST_TEST((classify(200, {id, signature, {"content-encoding", "gzip"}}) ==
                answer_kind::foreign));
    BOOST_TEST(
        (classify(503, {id, not_executed}) == answer_kind::not_executed));
    BOOST_TEST((classify(421, {}) == answer_kind::misdirected));
    // Without the not-executed header, a failed request may have run.
    BOOST_TEST((classify(503, {id, signature}) == answer_kind::genuine));
    BOOST_TEST((classify(500, {id, signature}) == answer_kind::genuine));
}

BOOST_AUTO_TEST_CASE(answers_announce_leaving_and_pauses)
{
    routed_request const request;
    auto const parse = [&](int status, std::vector<header_field> headers)
    { return backend_dialect().parse_head(request, status, headers); };
    BOOST_TEST(parse(200, {{"server-leaving", "1"}}).leaving);
    BOOST_TEST(!parse(200, {{"server-leaving", "0"}}).leaving);
    BOOST_TEST(!parse(200, {}).leaving);
    BOOST_TEST((parse(503, {{"retry-after", "2"}}).wanted_pause == 2s));
    BOOST_TEST((parse(503, {{"retry-after", "0.25"}}).wanted_pause == 250ms));
    BOOST_TEST((parse(503, {{"retry-after", "1e9"}}).wanted_pause == 10min));
    BOOST_TEST((parse(200, {{"retry-after", "2"}}).wanted_pause == 0s));
    for (std::string const text : {"", "-1", "soon", "2s", "nan"})
        BOOST_TEST((parse(503, {{"retry-after", text}}).wanted_pause == 0s),
                   text);
}

// A limit that cannot be read must not end the one that holds.
BOOST_AUTO_TEST_CASE(answers_state_limits)
{
    routed_request const request;
    auto const parse = [&](std::string limit)
    {
        return backend_dialect().parse_head(request, 200,
                                            {{"server-limit", limit}});
    };
    BOOST_TEST(parse("2.5").request_limit.value() == 2.5);
    BOOST_TEST(parse("12").request_limit.value() == 12);
    BOOST_TEST(parse("0").request_limit.value() == 0);
    BOOST_TEST(parse("1e300").request_limit.value() == 1e6);
    BOOST_TEST(!parse("2.5").has_malformed_limit);
    BOOST_TEST(!parse("").request_limit);
    BOOST_TEST(!parse("").has_malformed_limit);
    for (std::string const text : {"-1", "few", "2/s", "nan", " 2"})
    {
        BOOST_TEST(!parse(text).request_limit, text);
        BOOST_TEST(parse(text).has_malformed_limit, text);
    }
}

// A report must not be lost because it has the optional fourth figure.
BOOST_AUTO_TEST_CASE(loads_have_three_figures_or_four)
{
    auto const three = parse_load("3,1,8");
    BOOST_REQUIRE(three.load);
    BOOST_TEST(!three.fault);
    BOOST_TEST(three.load->running == 3U);
    BOOST_TEST(three.load->waiting == 1U);
    BOOST_TEST(three.load->slots == 8U);
    BOOST_TEST(!three.load->pace_percent);
    auto const four = parse_load("3,0,8,250");
    BOOST_REQUIRE(four.load);
    BOOST_TEST(four.load->slots == 8U);
    BOOST_TEST(four.load->pace_percent.value() == 250U);
    auto const absent = parse_load("");
    BOOST_TEST(!absent.load);
    BOOST_TEST(!absent.fault);
}

// A malformed report must be neither used nor lost without a cause.
BOOST_AUTO_TEST_CASE(malformed_loads_have_a_cause)
{
    using fault = services::load_report_fault;
    struct
    {
        std::string text;
        fault cause;
    } const cases[]{
        {"3", fault::missing_figure},
        {"3,1", fault::missing_figure},
        {"3,,8", fault::missing_figure},
        {"3,1,8,", fault::missing_figure},
        {"a,b,c", fault::not_a_number},
        {"-1,0,8", fault::not_a_number},
        {"3,1,8x", fault::not_a_number},
        {"3, 1,8", fault::not_a_number},
        {"3,1,8,1.5", fault::not_a_number},
        {"99999999999x,1,8", fault::not_a_number},
        {"3,1,8,100,5", fault::too_many_figures},
        {"3,1,8,100,", fault::too_many_figures},
        {"3,1,99999999999", fault::out_of_range},
        {"1000001,1,8", fault::out_of_range},
        {"3,1,8,0", fault::out_of_range},
        {"3,1,8,10001", fault::out_of_range},
    };
    for (auto const& each : cases)
    {
        auto const parsed = parse_load(each.text);
        BOOST_TEST(!parsed.load, each.text);
        BOOST_TEST((parsed.fault == each.cause), each.text);
    }
    auto const head = backend_dialect().parse_head(
        {}, 200, {{"x-bramleyarch-server-load", "3,1"}});
    BOOST_TEST(!head.load);
    BOOST_TEST((head.load_fault == fault::missing_figure));
}

BOOST_AUTO_TEST_SUITE_END()
