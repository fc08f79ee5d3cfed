/// Tests of how the team, service and kind of a request are determined.
#include "services/front/matching.hpp"

#include "common/digest.hpp"
#include "services/front/chat_body.hpp"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace bramleyarch;
using namespace bramleyarch::services;
using namespace std::chrono_literals;

namespace
{

config::document const document{
    .version = 3,
    .teams = {{.id = {"dispatch"}, .api_key_digests = {sha256_hex("key-a")}},
              {.id = {"crews"},
               .api_key_digests = {sha256_hex("key-b"), sha256_hex("key-c")}}},
    .services = {{.id = {"advisor"},
                  .kind = config::service_kind::model,
                  .path_prefix = "/v1",
                  .models = {"fit-small", "fit-large"},
                  .default_kind = request_kind::idempotent,
                  .deadline = 30s},
                 {.id = {"tagger"},
                  .kind = config::service_kind::model,
                  .path_prefix = "/v1",
                  .models = {"tags"},
                  .default_kind = request_kind::idempotent},
                 {.id = {"booking"},
                  .path_prefix = "/booking",
                  .routes = {{.method = "GET",
                              .path_prefix = "/schedules",
                              .kind = request_kind::idempotent}}},
                 {.id = {"photos"},
                  .path_prefix = "/booking/photos",
                  .default_kind = request_kind::idempotent}}};

std::string const chat_text =
    R"({"model":"fit-small","stream":true,"max_tokens":100,"messages":[)"
    R"({"role":"system","content":"be brief"},)"
    R"({"role":"user","content":"does it fit?"}]})";

std::string const fresh_key = to_text(make_idempotency_key({}, 1, 2));

incoming_request chat(std::string text = chat_text)
{
    return {.id = {7, 8},
            .method = "POST",
            .target = "/v1/chat/completions",
            .headers = {{"authorization", "Bearer key-a"}},
            .body = std::make_shared<std::string const>(std::move(text))};
}

incoming_request plain(std::string method, std::string target)
{
    return {.id = {7, 8},
            .method = std::move(method),
            .target = std::move(target),
            .headers = {{"authorization", "Bearer key-c"},
                        {"idempotency-key", fresh_key}},
            .body = std::make_shared<std::string const>("bin 4")};
}

result<routed_request> match(incoming_request request)
{
    static auto const teams = make_team_index(document);
    return match_request(document, teams, std::move(request));
}

/// Returns the kind of the error. Fails the test if the request matches.
error_kind match_error(incoming_request request)
{
    auto const routed = match(std::move(request));
    BOOST_TEST_REQUIRE(routed.has_error());
    return routed.error().kind;
}

std::string header(routed_request const& request, std::string const& name)
{
    for (auto const& field : request.headers)
    {
        if (field.name == name)
            return field.value;
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(matching)

BOOST_AUTO_TEST_CASE(
    fingerprints_of_requests_without_a_body_depend_on_the_target)
{
    auto first_request = chat();
    first_request.target = "/booking/schedules/1";
    first_request.method = "GET";
    first_request.body = std::make_shared<std::string const>();
    auto second_request = first_request;
    second_request.target = "/booking/schedules/2";
    auto const first = match(first_request);
    auto const second = match(second_request);
    BOOST_REQUIRE(first.has_value());
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(first.value().body_fingerprint !=
               second.value().body_fingerprint);
}

BOOST_AUTO_TEST_CASE(chat_request_is_matched_by_its_model)
{
    auto const routed = match(chat()).value();
    BOOST_TEST(routed.team.value == "dispatch");
    BOOST_TEST(routed.service.value == "advisor");
    BOOST_TEST(routed.model == "fit-small");
    BOOST_TEST((routed.kind == request_kind::idempotent));
    BOOST_TEST(routed.work == chat_text.size() / 4 + 100);
    BOOST_TEST(routed.body_fingerprint == fingerprint(chat_text));
    BOOST_TEST((routed.deadline == time_point{30s}));
    BOOST_TEST(header(routed, "authorization").empty());
    BOOST_TEST(header(routed, "x-request-id") == "7-8");
    auto tags = chat();
    tags.body = std::make_shared<std::string const>(
        R"({"model":"tags","messages":[{}]})");
    BOOST_TEST(match(tags).value().service.value == "tagger");
}

BOOST_AUTO_TEST_CASE(returning_chat_has_the_same_hash)
{
    auto const first = match(chat()).value().chat;
    auto longer = chat_text;
    longer.insert(longer.size() - 2,
                  R"(,{"role":"assistant","content":"yes"})");
    BOOST_TEST(match(chat(longer)).value().chat == first);
    auto other = chat_text;
    other.replace(other.find("fit?"), 3, "hit");
    BOOST_TEST(match(chat(other)).value().chat != first);
    auto other_team = chat();
    other_team.headers = {{"authorization", "Bearer key-b"}};
    BOOST_TEST(match(other_team).value().chat != first);
    auto named = chat(other);
    named.headers.push_back({"x-chat-id", "c1"});
    auto named_again = chat();
    named_again.headers.push_back({"x-chat-id", "c1"});
    BOOST_TEST(match(named).value().chat == match(named_again).value().chat);
}

BOOST_AUTO_TEST_CASE(plain_request_is_matched_by_the_longest_prefix)
{
    auto const read_request =
        match(plain("GET", "/booking/schedules?day=2")).value();
    BOOST_TEST(read_request.service.value == "booking");
    BOOST_TEST((read_request.kind == request_kind::idempotent));
    BOOST_TEST(!read_request.key.has_value());
    BOOST_TEST(read_request.target == "/booking/schedules?day=2");
    auto const action = match(plain("POST", "/booking/washes")).value();
    BOOST_TEST((action.kind == request_kind::non_idempotent));
    BOOST_TEST(to_text(action.key.value()) == fresh_key);
    BOOST_TEST(match(plain("PUT", "/booking/photos/1")).value().service.value ==
               "photos");
    BOOST_TEST((match(plain("POST", "/booking/schedules")).value().kind ==
                request_kind::non_idempotent));
}

BOOST_AUTO_TEST_CASE(unknown_team_is_unauthorized)
{
    for (std::string const value :
         {"", "Bearer ", "Bearer key-x", "Basic key-a", "bearer key-a"})
    {
        auto request = chat();
        request.headers = {{"authorization", value}};
        BOOST_TEST((match_error(request) == error_kind::unauthorized), value);
    }
}

BOOST_AUTO_TEST_CASE(digest_is_not_accepted_as_a_key)
{
    auto request = chat();
    request.headers = {{"authorization", "Bearer " + sha256_hex("key-a")}};
    BOOST_TEST((match_error(request) == error_kind::unauthorized));
}

BOOST_AUTO_TEST_CASE(wrong_path_is_not_found)
{
    for (std::string const target :
         {"/", "/bookings", "/v2/chat/completions", "/v1/models", "/v1"})
    {
        auto request = chat();
        request.target = target;
        BOOST_TEST((match_error(request) == error_kind::not_found), target);
    }
    auto request = chat();
    request.method = "GET";
    BOOST_TEST((match_error(request) == error_kind::not_found));
}

BOOST_AUTO_TEST_CASE(unknown_model_is_not_found)
{
    BOOST_TEST((match_error(chat(R"({"model":"x","messages":[{}]})")) ==
                error_kind::not_found));
}

BOOST_AUTO_TEST_CASE(malformed_chat_bodies_are_invalid)
{
    for (std::string const text :
         {"", "{", "[]", "7", "{}", R"({"model":7,"messages":[{}]})",
          R"({"model":"tags"})", R"({"model":"tags","messages":[]})",
          R"({"model":"tags","messages":[7]})",
          R"({"model":"tags","messages":[{}],"stream":"yes"})",
          R"({"model":"tags","messages":[{}],"max_tokens":-1})",
          R"({"model":"tags","messages":[{}],"max_tokens":"9"})"})
        BOOST_TEST((match_error(chat(text)) == error_kind::invalid_request),
                   text);
}

BOOST_AUTO_TEST_CASE(missing_and_malformed_idempotency_keys_are_refused)
{
    auto missing = plain("POST", "/booking/washes");
    missing.headers.pop_back();
    BOOST_TEST((match_error(missing) == error_kind::idempotency_key_missing));
    // The second key is a UUID of version 4.
    for (std::string const key : {"k1", "5f0c9a52-0f9f-4c2e-9b7e-1f2a3b4c5d6e"})
    {
        auto request = plain("POST", "/booking/washes");
        request.headers.back().value = key;
        BOOST_TEST(
            (match_error(request) == error_kind::idempotency_key_invalid), key);
    }
}

BOOST_AUTO_TEST_CASE(malformed_header_values_are_invalid)
{
    for (header_field const& field : {header_field{"x-deadline-ms", "soon"},
                                      {"x-deadline-ms", "0"},
                                      {"x-deadline-ms", "-5"},
                                      {"x-priority", "highest"},
                                      {"x-resume-offset", "1.5"}})
    {
        auto request = chat();
        request.headers.push_back(field);
        BOOST_TEST((match_error(request) == error_kind::invalid_request),
                   field.name << ": " << field.value);
    }
}

BOOST_AUTO_TEST_CASE(caller_can_only_lower_deadline_and_priority)
{
    auto request = chat();
    request.headers.push_back({"x-deadline-ms", "500"});
    request.headers.push_back({"x-priority", "batch"});
    request.headers.push_back({"x-resume-offset", "12"});
    auto const lowered = match(request).value();
    BOOST_TEST((lowered.deadline == time_point{500ms}));
    BOOST_TEST((lowered.priority == request_priority::batch));
    BOOST_TEST(lowered.resume_offset == 12U);
    request.headers = {{"authorization", "Bearer key-a"},
                       {"x-deadline-ms", "90000"},
                       {"x-priority", "interactive"}};
    auto const raised = match(request).value();
    BOOST_TEST((raised.deadline == time_point{30s}));
    BOOST_TEST((raised.priority == request_priority::standard));
    BOOST_TEST(header(raised, "x-priority") == "standard");
}

BOOST_AUTO_TEST_CASE(huge_token_counts_are_bounded)
{
    auto const routed = match(chat(R"({"model":"tags","messages":[{}],)"
                                   R"("max_tokens":18446744073709551615})"))
                            .value();
    BOOST_TEST(routed.work == UINT32_MAX);
}

BOOST_AUTO_TEST_CASE(mutated_bodies_are_parsed_or_invalid)
{
    std::mt19937_64 random{11};
    for (int round = 0; round < 10'000; ++round)
    {
        auto text = chat_text;
        for (auto changes = random() % 8; changes > 0; --changes)
            text[random() % text.size()] = static_cast<char>(random());
        auto const parsed = parse_chat_body(text);
        BOOST_TEST_REQUIRE(
            (parsed || parsed.error().kind == error_kind::invalid_request));
    }
    BOOST_TEST(!parse_chat_body(std::string(1 << 20, '[')).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
