/// Tests of problem details.
#include "services/front/problem.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace bramleyarch;
using namespace bramleyarch::services;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(problem_encoding)

BOOST_AUTO_TEST_CASE(json_and_headers_contain_all_members)
{
    problem_details const problem{
        .cause = {error_kind::queue_full, "advisor-3"},
        .known_outcome = outcome::not_run,
        .retry_after = 1500ms,
        .request = {4, 9}};
    auto const json = nlohmann::json::parse(problem_json(problem));
    BOOST_TEST(json["type"] == "urn:bramleyarch:error:queue_full");
    BOOST_TEST(json["title"] == "queue full");
    BOOST_TEST(json["status"] == 503);
    BOOST_TEST(json["detail"] == "advisor-3");
    BOOST_TEST(json["outcome"] == "not_run");
    BOOST_TEST(json["remedy"] == "retry after the stated time");
    BOOST_TEST(json["request_id"] == "4-9");
    BOOST_TEST(json["retry_after_ms"] == 1500);
    auto const headers = problem_headers(problem);
    BOOST_TEST(headers.at(0).value == "application/problem+json");
    BOOST_TEST(headers.at(2).name == "retry-after");
    BOOST_TEST(headers.at(2).value == "2");
}

BOOST_AUTO_TEST_CASE(json_is_valid_for_any_bytes_in_the_detail)
{
    problem_details const problem{
        .cause = {error_kind::invalid_request, "\xff\"\n"}};
    BOOST_TEST(nlohmann::json::accept(problem_json(problem)));
    BOOST_TEST((problem_json(problem).find('\n') == std::string::npos));
}

BOOST_AUTO_TEST_SUITE_END()
