/// Tests of process settings.
#include "config/settings.hpp"
#include "config/settings_table.hpp"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace bramleyarch;
using namespace bramleyarch::config;
using namespace std::chrono_literals;

namespace
{

std::string const valid = "; one router\n"
                          "[router]\n"
                          "id = r1\n"
                          "domain = a\n"
                          "region = west\n"
                          "[listen]\n"
                          "callers = 127.0.0.1:0\n"
                          "admin = 127.0.0.1:8081\n"
                          "link = 127.0.0.1:8082\n"
                          "heartbeat = 127.0.0.1:8083\n"
                          "[platform]\n"
                          "config_file = fleet.json\n";

std::string replaced(std::string text, std::string_view from,
                     std::string_view to)
{
    auto const at = text.find(from);
    BOOST_TEST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::vector<fault> faults_of(std::string const& text)
{
    return parse_settings(text, "r1.ini").faults;
}

bool has_fault(std::vector<fault> const& faults, std::string_view position,
               std::string_view word)
{
    for (auto const& f : faults)
    {
        if (f.path == position && f.problem.find(word) != std::string::npos &&
            !f.remedy.empty())
            return true;
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(process_settings)

BOOST_AUTO_TEST_CASE(valid_file_is_read_with_defaults)
{
    auto const parsed = parse_settings(valid, "r1.ini");
    BOOST_TEST_REQUIRE(describe(parsed.faults) == "");
    auto const& s = parsed.value;
    BOOST_TEST(s.router.id.value == "r1");
    BOOST_TEST(s.listen.callers.port == 0U);
    BOOST_TEST(s.listen.link.port == 8082U);
    BOOST_TEST((s.platform.mode == platform_mode::embedded));
    BOOST_TEST(s.platform.config_file == "fleet.json");
    BOOST_TEST((s.fleet.heartbeat_interval == 500ms));
    BOOST_TEST(s.fleet.peers.empty());
    BOOST_TEST(s.limits.max_connections == 4096U);
    BOOST_TEST((s.level == log_level::info));
}

BOOST_AUTO_TEST_CASE(shared_limits_that_are_left_empty_keep_their_defaults)
{
    auto const parsed = parse_settings(
        valid + "[shared]\nload_factor =\nretry_slack = 0\n", "r1.ini");
    BOOST_TEST_REQUIRE(describe(parsed.faults) == "");
    BOOST_TEST(parsed.value.shared.load_factor == 2);
    BOOST_TEST(parsed.value.shared.retry_slack == 0U);
    auto const limited =
        parse_settings(valid + "[limits]\nmemory_mb =\n", "r1.ini");
    BOOST_TEST_REQUIRE(describe(limited.faults) == "");
    BOOST_TEST(limited.value.limits.memory_mb == 0U);
    // Elsewhere an empty number is a fault.
    BOOST_TEST(!faults_of(valid + "[limits]\nmax_connections =\n").empty());
}

// Guards against queues that are in use where the settings don't ask for them.
BOOST_AUTO_TEST_CASE(requests_wait_only_where_the_settings_say_so)
{
    auto const mode = [](std::string const& text)
    { return parse_settings(valid + text, "r1.ini").value.shared.waiting; };
    BOOST_TEST((mode("") == waiting_mode::off));
    BOOST_TEST((mode("[shared]\nwaiting =\n") == waiting_mode::off));
    BOOST_TEST(
        (mode("[shared]\nwaiting = ordered\n") == waiting_mode::ordered));
    BOOST_TEST(!parse_settings(valid + "[shared]\nwaiting = on\n", "r1.ini")
                    .faults.empty());
}

// Guards against a router that does not start where a limit is a fraction, as
// in a deployment that is played at a part of its size.
BOOST_AUTO_TEST_CASE(shared_limits_may_be_fractions)
{
    auto const parsed =
        parse_settings(valid + "[shared]\nretry_slack = 33.1578947368421\n"
                               "cold_slack = 2.5\nstop_limit_s = 7.5\n"
                               "leaving_limit_ms = 1500.5\n",
                       "r1.ini");
    BOOST_TEST_REQUIRE(describe(parsed.faults) == "");
    auto const& shared = parsed.value.shared;
    BOOST_TEST(shared.retry_slack == 33.1578947368421);
    BOOST_TEST(shared.cold_slack == 2.5);
    BOOST_TEST((shared.stop_limit == 7500ms));
    BOOST_TEST((shared.leaving_limit == 1500500us));
}

BOOST_AUTO_TEST_CASE(every_default_is_valid)
{
    for (auto const& row : setting_rows())
        BOOST_TEST((row.required || is_valid(row, row.default_text)), row.key);
}

BOOST_AUTO_TEST_CASE(peers_are_a_list)
{
    auto const parsed = parse_settings(
        valid + "[fleet]\npeers = 10.0.0.1:1, 10.0.0.2:2\n", "r1.ini");
    BOOST_TEST_REQUIRE(describe(parsed.faults) == "");
    BOOST_TEST_REQUIRE(parsed.value.fleet.peers.size() == 2U);
    BOOST_TEST(parsed.value.fleet.peers[1].address == "10.0.0.2");
    BOOST_TEST(parsed.value.fleet.peers[1].port == 2U);
}

BOOST_AUTO_TEST_CASE(advertised_addresses_default_to_those_listened_on)
{
    auto const plain = parse_settings(valid, "r1.ini").value;
    BOOST_TEST(plain.listen.advertised_link.port == 8082U);
    BOOST_TEST(plain.listen.advertised_heartbeat.port == 8083U);
    auto const text = replaced(valid, "[platform]\n",
                               "advertised_link = 10.1.0.9:9001\n"
                               "[platform]\n");
    auto const other = parse_settings(text, "r1.ini").value;
    BOOST_TEST(other.listen.advertised_link.address == "10.1.0.9");
    BOOST_TEST(other.listen.link.port == 8082U);
}

BOOST_AUTO_TEST_CASE(line_ends_of_other_systems_and_blanks)
{
    std::string text;
    for (char const c : valid)
        text += c == '\n' ? std::string{" \r\n"} : std::string{c};
    BOOST_TEST(describe(faults_of(text)) == "");
}

BOOST_AUTO_TEST_CASE(unknown_key)
{
    auto const faults = faults_of(replaced(valid, "region", "regions"));
    BOOST_TEST(has_fault(faults, "r1.ini:5", "no key \"regions\""));
    BOOST_TEST(has_fault(faults, "r1.ini", "[router] region is missing"));
}

BOOST_AUTO_TEST_CASE(unknown_section)
{
    BOOST_TEST(has_fault(faults_of(valid + "[routers]\nid = x\n"), "r1.ini:14",
                         "[routers] has no key"));
}

BOOST_AUTO_TEST_CASE(key_that_stands_twice)
{
    BOOST_TEST(has_fault(
        faults_of(replaced(valid, "domain = a\n", "domain = a\nid = r2\n")),
        "r1.ini:5", "line 3"));
}

BOOST_AUTO_TEST_CASE(section_that_stands_twice)
{
    BOOST_TEST(
        has_fault(faults_of(valid + "[router]\n"), "r1.ini:13", "line 2"));
}

BOOST_AUTO_TEST_CASE(key_in_no_section)
{
    BOOST_TEST(
        has_fault(faults_of("id = r1\n" + valid), "r1.ini:1", "in no section"));
}

BOOST_AUTO_TEST_CASE(line_that_is_neither_key_nor_section)
{
    BOOST_TEST(has_fault(faults_of("router\n" + valid), "r1.ini:1",
                         "no section, key or comment"));
    BOOST_TEST(has_fault(faults_of("[router\n" + valid), "r1.ini:1", "no ']'"));
}

BOOST_AUTO_TEST_CASE(values_of_the_wrong_form)
{
    struct bad_value
    {
        std::string_view from;
        std::string_view to;
        std::string_view position;
    };
    for (auto const& bad : {
             bad_value{"id = r1", "id = r 1", "r1.ini:3"},
             bad_value{"id = r1", "id =", "r1.ini:3"},
             bad_value{"127.0.0.1:0", "localhost:0", "r1.ini:7"},
             bad_value{"127.0.0.1:8081", "0.0.0.0:8081", "r1.ini:8"},
             bad_value{"127.0.0.1:8082", "127.0.0.1:99999", "r1.ini:9"},
             bad_value{"config_file = fleet.json", "timeout_ms = 5",
                       "r1.ini:12"},
             bad_value{"config_file = fleet.json", "timeout_ms = 1e3",
                       "r1.ini:12"},
             bad_value{"config_file = fleet.json", "timeout_ms = -1",
                       "r1.ini:12"},
             bad_value{"config_file = fleet.json",
                       "timeout_ms = 99999999999999999999", "r1.ini:12"},
             bad_value{"config_file = fleet.json", "mode = consul",
                       "r1.ini:12"},
             bad_value{"config_file = fleet.json", "endpoint = 10.0.0.1:0",
                       "r1.ini:12"},
             bad_value{"config_file = fleet.json", "document_key = a b",
                       "r1.ini:12"},
         })
        BOOST_TEST(has_fault(faults_of(replaced(valid, bad.from, bad.to)),
                             bad.position, "is not valid"),
                   bad.to);
}

BOOST_AUTO_TEST_CASE(list_of_peers_of_the_wrong_form)
{
    for (auto const* bad : {"10.0.0.1", "10.0.0.1:1,", ",10.0.0.1:1",
                            "10.0.0.1:1;10.0.0.2:2", "10.0.0.1:0"})
        BOOST_TEST(has_fault(faults_of(valid + "[fleet]\npeers = " + bad),
                             "r1.ini:14", "peers is not valid"),
                   bad);
}

BOOST_AUTO_TEST_CASE(relations_between_keys)
{
    BOOST_TEST(has_fault(faults_of(valid + "[fleet]\nsuspect_after_ms = 900\n"),
                         "r1.ini:14", "two heartbeat intervals"));
    BOOST_TEST(has_fault(faults_of(valid + "[fleet]\ngone_after_ms = 2000\n"),
                         "r1.ini:14", "not above"));
    BOOST_TEST(has_fault(faults_of(valid + "mode = etcd\n"), "r1.ini",
                         "endpoint is not set"));
    BOOST_TEST(
        has_fault(faults_of(replaced(valid, "config_file = fleet.json", "")),
                  "r1.ini", "config_file is not set"));
}

BOOST_AUTO_TEST_CASE(all_faults_are_reported_together)
{
    auto text = replaced(valid, "region = west", "region =");
    text = replaced(text, "127.0.0.1:8081", "here");
    text += "junk\n[limits]\nmax_connections = 0\nmax_conections = 5\n";
    auto const faults = faults_of(text);
    BOOST_TEST(faults.size() == 5U);
    BOOST_TEST(has_fault(faults, "r1.ini:5", "region"));
    BOOST_TEST(has_fault(faults, "r1.ini:8", "admin"));
    BOOST_TEST(has_fault(faults, "r1.ini:13", "junk"));
    BOOST_TEST(has_fault(faults, "r1.ini:15", "max_connections"));
    BOOST_TEST(has_fault(faults, "r1.ini:16", "max_conections"));
}

BOOST_AUTO_TEST_CASE(file_that_is_missing_or_too_long)
{
    BOOST_TEST(has_fault(read_settings("no/such.ini").faults, "no/such.ini",
                         "can't be read"));
    BOOST_TEST(has_fault(faults_of(valid + std::string(65'536, ';')), "r1.ini",
                         "bytes"));
}

BOOST_AUTO_TEST_CASE(random_and_mutated_files, *boost::unit_test::timeout(60))
{
    std::mt19937_64 random{20'260'705};
    int read = 0;
    for (int i = 0; i < 5000; ++i)
    {
        auto text = valid;
        for (auto changes = 1 + random() % 4; changes > 0; --changes)
        {
            auto const at = random() % text.size();
            if (random() % 2 == 0)
                text[at] = static_cast<char>(random());
            else
                text.insert(at, text.substr(random() % text.size(), 30));
        }
        auto const parsed = parse_settings(text, "r1.ini");
        for (auto const& f : parsed.faults)
            BOOST_TEST_REQUIRE(!f.remedy.empty());
        read += parsed.faults.empty() ? 1 : 0;
    }
    BOOST_TEST(read > 0);
    BOOST_TEST(read < 5000);
}

BOOST_AUTO_TEST_SUITE_END()
