/// Tests of the decoder of watch streams.
#include "etcd/watch_decoder.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch::etcd;

namespace
{

std::string const stream =
    "{\"result\":{\"header\":{\"revision\":\"5\"},\"created\":true}}\n"
    "\n"
    "{\"result\":{\"header\":{\"revision\":\"6\"},\"events\":["
    "{\"kv\":{\"key\":\"Zm9v\",\"value\":\"YmFy\",\"create_revision\":\"2\","
    "\"mod_revision\":\"6\"}},"
    "{\"type\":\"DELETE\",\"kv\":{\"key\":\"Zm9v\",\"mod_revision\":\"6\"}}"
    "]}}\n";

} // namespace

BOOST_AUTO_TEST_SUITE(watch_stream)

BOOST_AUTO_TEST_CASE(messages_do_not_depend_on_how_the_stream_is_split)
{
    for (std::size_t split = 0; split <= stream.size(); ++split)
    {
        watch_decoder decoder;
        auto messages = decode(decoder, stream.substr(0, split));
        for (auto& message : decode(decoder, stream.substr(split)))
            messages.push_back(std::move(message));
        BOOST_TEST_REQUIRE(messages.size() == 2U);
        BOOST_TEST(messages[0].created);
        BOOST_TEST(messages[0].revision == 5);
        BOOST_TEST_REQUIRE(messages[1].entries.size() == 2U);
        BOOST_TEST(messages[1].entries[0].value == "bar");
        BOOST_TEST(messages[1].entries[1].create_revision == 0);
        BOOST_TEST(!decoder.broken);
    }
}

BOOST_AUTO_TEST_CASE(cancellation_reports_the_compact_revision)
{
    watch_decoder decoder;
    auto const messages =
        decode(decoder, "{\"result\":{\"header\":{},\"canceled\":true,"
                        "\"compact_revision\":\"9\"}}\n");
    BOOST_TEST_REQUIRE(messages.size() == 1U);
    BOOST_TEST(messages[0].canceled);
    BOOST_TEST(messages[0].compact_revision == 9);
}

BOOST_AUTO_TEST_CASE(malformed_and_oversized_lines_break_the_stream)
{
    for (auto const* bad : {"x\n", "{}\n", "[]\n", "{\"error\":{}}\n"})
    {
        watch_decoder decoder;
        BOOST_TEST(decode(decoder, bad + stream).empty());
        BOOST_TEST(decoder.broken);
        BOOST_TEST(decode(decoder, stream).empty());
    }
    watch_decoder decoder;
    decode(decoder, std::string(max_watch_line_bytes + 1, 'x'));
    BOOST_TEST(decoder.broken);
}

BOOST_AUTO_TEST_SUITE_END()
