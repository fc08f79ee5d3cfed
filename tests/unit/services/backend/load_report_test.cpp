/// Tests of the parser for load reports.
#include "services/backend/load_report.hpp"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace bramleyarch;
using namespace bramleyarch::services;

BOOST_AUTO_TEST_SUITE(load_report)

BOOST_AUTO_TEST_CASE(members_are_parsed)
{
    auto const report =
        parse_load_report(R"({"incarnation":12,"running":3,"waiting":4,)"
                          R"("cold":true,"age_ms":250})");
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(report.value().server_incarnation == 12U);
    BOOST_TEST(report.value().running == 3U);
    BOOST_TEST(report.value().waiting == 4U);
    BOOST_TEST(report.value().cold);
    BOOST_TEST(report.value().age_ms == 250U);
    BOOST_TEST(parse_load_report("{}").has_value());
}

BOOST_AUTO_TEST_CASE(invalid_reports_are_rejected)
{
    for (std::string const text :
         {"", "[]", "{", "7", R"({"running":-1})", R"({"running":"3"})",
          R"({"running":1.5})", R"({"running":99999999999})", R"({"cold":1})",
          R"({"incarnation":null})"})
        BOOST_TEST(!parse_load_report(text).has_value(), text);
}

BOOST_AUTO_TEST_CASE(randomly_changed_reports_are_parsed_or_rejected)
{
    std::mt19937_64 random{7};
    std::string const valid_text =
        R"({"incarnation":1,"running":2,"cold":false})";
    for (int round = 0; round < 20'000; ++round)
    {
        auto text = valid_text;
        for (int change = 0; change < 4; ++change)
            text[random() % text.size()] = static_cast<char>(random());
        auto const report = parse_load_report(text);
        BOOST_TEST_REQUIRE(
            (report || report.error().kind == error_kind::server_protocol));
    }
}

BOOST_AUTO_TEST_SUITE_END()
