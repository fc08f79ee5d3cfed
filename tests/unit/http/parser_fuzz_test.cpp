/// Seeded fuzz test of the HTTP parser and of the server's body reader: whole
/// and damaged requests in pieces of any size. Guards against lost bytes,
/// against memory that grows with what a caller sends, and against a refusal
/// of a request that was handed out.
#include "http/message.hpp"
#include "server_fixture.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <random>

using namespace bramleyarch;
using http::parse_state;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t max_head_bytes = 2048;
constexpr int rounds = 3000;

struct made_request
{
    std::string text;
    std::string body;
};

class request_maker
{
public:
    explicit request_maker(unsigned seed) : random_{seed} {}

    std::size_t below(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>{0,
                                                          limit - 1}(random_);
    }

    std::string letters(std::size_t size)
    {
        std::string text(size, ' ');
        for (auto& letter : text)
            letter = static_cast<char>('a' + below(26));
        return text;
    }

    /// A request in chunks, some of which have extensions, with trailers.
    made_request make()
    {
        made_request made{.text = "POST /book HTTP/1.1\r\nhost: x\r\n"
                                  "transfer-encoding: chunked\r\n\r\n",
                          .body = {}};
        for (auto chunks = below(20); chunks > 0; --chunks)
        {
            auto const data = letters(1 + below(below(4) == 0 ? 3000 : 4));
            auto const extension =
                below(4) == 0 ? ";n=" + letters(below(20)) : std::string{};
            made.text +=
                fmt::format("{:x}{}\r\n{}\r\n", data.size(), extension, data);
            made.body += data;
        }
        made.text += "0\r\n";
        for (auto trailers = below(3); trailers > 0; --trailers)
            made.text += "authorization: " + letters(below(20)) + "\r\n";
        made.text += "\r\n";
        return made;
    }

    void damage(std::string& text)
    {
        for (auto times = 1 + below(4); times > 0; --times)
            text.at(below(text.size())) = static_cast<char>(below(256));
    }

private:
    std::mt19937 random_;
};

struct parsed_request
{
    http::message_parser parser;
    std::string body;
    std::size_t used = 0;
};

void parse_in_pieces(parsed_request& into, std::string_view text,
                     request_maker& random)
{
    into.parser.on_body = [&into](std::string_view bytes)
    { into.body.append(bytes); };
    http::start(into.parser, http::message_kind::request, max_head_bytes);
    while (!text.empty() && (into.parser.state == parse_state::head ||
                             into.parser.state == parse_state::body))
    {
        auto const piece =
            text.substr(0, 1 + random.below(random.below(2) == 0 ? 4 : 2000));
        into.used += http::parse(into.parser, piece);
        text.remove_prefix(piece.size());
    }
}

std::size_t header_bytes(http::message_head const& head)
{
    std::size_t bytes = head.target.size();
    for (auto const& field : head.headers)
        bytes += field.name.size() + field.value.size();
    return bytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(parser_fuzz)

BOOST_AUTO_TEST_CASE(whole_requests_lose_no_byte)
{
    request_maker maker{1};
    for (int round = 0; round < rounds; ++round)
    {
        auto const made = maker.make();
        parsed_request parsed;
        parse_in_pieces(parsed, made.text + "GET", maker);
        BOOST_TEST_REQUIRE((parsed.parser.state == parse_state::complete));
        BOOST_TEST_REQUIRE(parsed.used == made.text.size());
        BOOST_TEST_REQUIRE(parsed.body == made.body);
        // Trailers could otherwise pass for headers that were checked.
        BOOST_TEST_REQUIRE(parsed.parser.head.headers.size() == 2U);
    }
}

BOOST_AUTO_TEST_CASE(damaged_requests_hold_bounded_bytes)
{
    request_maker maker{2};
    for (int round = 0; round < rounds; ++round)
    {
        auto made = maker.make();
        maker.damage(made.text);
        parsed_request parsed;
        parse_in_pieces(parsed, made.text, maker);
        BOOST_TEST_REQUIRE(parsed.body.size() <= made.text.size());
        BOOST_TEST_REQUIRE(header_bytes(parsed.parser.head) <=
                           max_head_bytes + 2000);
    }
}

BOOST_AUTO_TEST_CASE(extensions_and_trailers_without_end_are_refused)
{
    std::string const head = "POST /book HTTP/1.1\r\nhost: x\r\n"
                             "transfer-encoding: chunked\r\n\r\n";
    for (std::string const start : {"1;", "0\r\n", ""})
    {
        http::message_parser parser;
        http::start(parser, http::message_kind::request, max_head_bytes);
        http::parse(parser, head + start);
        std::size_t sent = 0;
        std::string const block =
            start.empty() ? "1;" + std::string(60, 'e') + "\r\nb\r\n"
                          : (start == "1;" ? "name=value;" : "a:\r\n");
        while (parser.state == parse_state::body && sent < 1'000'000)
        {
            http::parse(parser, block);
            sent += block.size();
        }
        BOOST_TEST((parser.state == parse_state::failed));
        BOOST_TEST(parser.head_too_large);
        BOOST_TEST(sent < 2 * max_head_bytes);
        BOOST_TEST(parser.head.headers.size() == 2U);
    }
}

// Each request is handed out with its whole body, or is refused and never
// handed out.
BOOST_FIXTURE_TEST_CASE(server_hands_out_whole_bodies_or_refuses,
                        testing::server_fixture)
{
    request_maker maker{3};
    for (int round = 0; round < 100; ++round)
    {
        auto made = maker.make();
        bool const is_damaged = round % 2 == 1;
        if (is_damaged)
            maker.damage(made.text);
        testing::raw_caller caller{http::port_of(*server)};
        for (std::string_view rest = made.text; !rest.empty();)
        {
            auto const piece = rest.substr(0, 1 + maker.below(3000));
            caller.write(std::string{piece});
            rest.remove_prefix(piece.size());
            http::wait(*server, 0ms);
        }
        // A head that is damaged at its end is never whole.
        run_until(
            [&]
            {
                caller.poll();
                return !seen.requests.empty() || !seen.refused.empty() ||
                       caller.closed;
            });
        BOOST_TEST_REQUIRE(seen.requests.size() + seen.refused.size() <= 1U);
        BOOST_TEST_REQUIRE((is_damaged || seen.requests.size() == 1U));
        if (!is_damaged)
            BOOST_TEST_REQUIRE(*seen.requests.front().body == made.body);
        caller.close();
        run_until(
            [this] {
                return http::open_exchanges(*server) == 0 ||
                       !seen.refused.empty();
            });
        seen = {};
    }
}

BOOST_AUTO_TEST_SUITE_END()
