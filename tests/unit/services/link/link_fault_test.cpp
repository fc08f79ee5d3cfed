/// Tests of the fleet link against peers that fail, in each way that it must
/// tell apart: never reached, lost, silent, not reading, foreign.
#include "link_node.hpp"

#include "wire/frames.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <string>
#include <tuple>

using namespace bramleyarch;
using namespace bramleyarch::services;
using namespace bramleyarch::test;
using boost::asio::ip::tcp;

namespace
{

/// A peer written by hand: accepts one connection and can greet.
struct raw_peer
{
    boost::asio::io_context io;
    tcp::acceptor acceptor{io, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    tcp::socket socket{io};

    [[nodiscard]] std::uint16_t port() const
    {
        return acceptor.local_endpoint().port();
    }

    void accept()
    {
        socket = tcp::socket{io};
        acceptor.accept(socket);
    }

    wire::frame read_frame()
    {
        std::string bytes(wire::frame_header_bytes, '\0');
        boost::asio::read(socket, boost::asio::buffer(bytes));
        std::size_t const length = static_cast<std::uint8_t>(bytes[8]) +
                                   static_cast<std::uint8_t>(bytes[9]) * 256U;
        bytes.resize(bytes.size() + length);
        boost::asio::read(
            socket, boost::asio::buffer(bytes.data() + wire::frame_header_bytes,
                                        length));
        auto taken = wire::take_frame(bytes, {});
        BOOST_REQUIRE(taken);
        BOOST_REQUIRE(taken.value());
        return taken.value()->what;
    }

    void write_frame(wire::frame const& what)
    {
        std::string bytes;
        BOOST_REQUIRE(wire::append_frame(bytes, what, {}));
        boost::asio::write(socket, boost::asio::buffer(bytes));
    }

    void greet(router_id const& as)
    {
        auto const greeting = std::get<wire::hello>(read_frame());
        write_frame(wire::hello{.from = as, .to = greeting.from, .started = 1});
    }
};

/// True when the other end closes the connection.
bool is_closed_by_peer(tcp::socket& socket)
{
    std::array<char, 4096> bytes{};
    boost::system::error_code failed;
    while (!failed)
        socket.read_some(boost::asio::buffer(bytes), failed);
    return true;
}

redirect only_redirect(link_node& node)
{
    auto const replies = await<owner_reply_received>(*node.routing);
    BOOST_REQUIRE(replies.size() == 1U);
    return std::get<redirect>(replies[0].reply);
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_link_faults)

BOOST_AUTO_TEST_CASE(unknown_router_is_answered_at_once)
{
    auto const a = start_node({.self = {"a"}});
    send(a->link, send_owner_request{{"nobody"}, offer_number(1)});
    auto const answer = only_redirect(*a);
    BOOST_TEST((answer.cause == error_kind::owner_lost));
    BOOST_TEST((answer.attempt == offer_number(1).attempt));
    BOOST_TEST(answer.load.server.value == "s1");
    send(a->link, send_owner_request{{"nobody"}, grant_credit{}});
    await<link_lost>(*a->routing);
    send(a->link, send_owner_reply{{"nobody"}, answer_end{}});
    await<link_lost>(*a->owner);
}

BOOST_AUTO_TEST_CASE(refused_connection_is_a_redirect_and_not_a_loss)
{
    std::uint16_t port = 0;
    {
        raw_peer closed;
        port = closed.port();
    }
    auto const a = start_node({.self = {"a"}});
    send(a->link, view_of({listed({"b"}, port)}));
    send(a->link, send_owner_request{{"b"}, offer_number(1)});
    BOOST_TEST((only_redirect(*a).cause == error_kind::owner_lost));
    BOOST_TEST(a->routing->messages.size() == 1U);
}

BOOST_AUTO_TEST_CASE(unreachable_router_is_a_redirect_after_the_limit)
{
    raw_peer never_greets;
    auto const a = start_node({.self = {"a"}, .connect_limit = 200ms});
    send(a->link, view_of({listed({"b"}, never_greets.port())}));
    send(a->link, send_owner_request{{"b"}, offer_number(1)});
    BOOST_TEST((only_redirect(*a).cause == error_kind::owner_lost));
}

BOOST_AUTO_TEST_CASE(another_router_at_the_address_gets_nothing)
{
    auto const a = start_node({.self = {"a"}});
    auto const c = start_node({.self = {"c"}});
    send(a->link, view_of({listed({"b"}, *c->port)}));
    send(a->link, send_owner_request{{"b"}, offer_number(1)});
    BOOST_TEST((only_redirect(*a).cause == error_kind::owner_lost));
    BOOST_TEST(c->owner->messages.empty());
}

BOOST_AUTO_TEST_CASE(lost_connection_is_reported_and_the_next_send_opens_one)
{
    raw_peer b;
    auto const a = start_node({.self = {"a"}});
    send(a->link, view_of({listed({"b"}, b.port())}));
    send(a->link, send_owner_request{{"b"}, offer_number(1)});
    b.accept();
    b.greet({"b"});
    std::ignore = std::get<offer>(b.read_frame());
    b.socket.close();
    BOOST_TEST(await<link_lost>(*a->routing)[0].router.value == "b");
    send(a->link, send_owner_request{{"b"}, offer_number(2)});
    b.accept();
    b.greet({"b"});
    BOOST_TEST(std::get<offer>(b.read_frame()).attempt.request.sequence == 2U);
}

BOOST_AUTO_TEST_CASE(silent_connection_is_retired_while_a_new_one_works)
{
    raw_peer b;
    auto const a = start_node(
        {.self = {"a"}, .heartbeat_interval = 100ms, .silence_limit = 1s});
    send(a->link, view_of({listed({"b"}, b.port())}));
    send(a->link, send_owner_request{{"b"}, offer_number(1)});
    b.accept();
    b.greet({"b"});
    std::ignore = std::get<offer>(b.read_frame());
    std::ignore = std::get<wire::link_heartbeat>(b.read_frame());
    await<link_lost>(*a->routing);
    send(a->link, send_owner_request{{"b"}, offer_number(2)});
    b.accept();
    b.greet({"b"});
    BOOST_TEST(std::get<offer>(b.read_frame()).attempt.request.sequence == 2U);
}

BOOST_AUTO_TEST_CASE(a_silent_link_makes_the_others_prove_themselves)
{
    raw_peer b;
    raw_peer c;
    auto const a = start_node({.self = {"a"},
                               .heartbeat_interval = 100ms,
                               .silence_limit = 600ms,
                               .doubt_limit = 300ms});
    send(a->link, view_of({listed({"b"}, b.port()), listed({"c"}, c.port())}));
    send(a->link, send_owner_request{{"c"}, offer_number(1)});
    c.accept();
    c.greet({"c"});
    std::ignore = std::get<offer>(c.read_frame());
    // Ends what is in flight: the link to c is idle, which bears 30 s.
    c.write_frame(answer_end{.attempt = offer_number(1).attempt});
    await<owner_reply_received>(*a->routing);
    send(a->link, send_owner_request{{"b"}, offer_number(2)});
    b.accept();
    b.greet({"b"});
    std::ignore = std::get<offer>(b.read_frame());
    auto const lost = await<link_lost>(*a->routing, 2);
    BOOST_TEST(lost[0].router.value == "b");
    BOOST_REQUIRE(lost[0].attempts.has_value());
    BOOST_TEST(lost[0].attempts->size() == 1U);
    BOOST_TEST(lost[1].router.value == "c");
    BOOST_TEST(lost[1].attempts->empty());
    // Links open again unasked, which routing is told.
    b.accept();
    b.greet({"b"});
    BOOST_TEST(await<link_opened>(*a->routing)[0].router.value == "b");
}

BOOST_AUTO_TEST_CASE(heartbeats_keep_a_slow_answer_alive)
{
    auto const a = start_node(
        {.self = {"a"}, .heartbeat_interval = 50ms, .silence_limit = 600ms});
    auto const b = start_node({.self = {"b"}, .silence_limit = 600ms});
    send(a->link, view_of({listed({"b"}, *b->port)}));
    send(a->link, send_owner_request{{"b"}, offer_number(1)});
    await<owner_request_received>(*b->owner);
    std::this_thread::sleep_for(4s);
    send(b->link,
         send_owner_reply{{"a"}, answer_end{offer_number(1).attempt, 0, 0}});
    await<owner_reply_received>(*a->routing);
    BOOST_TEST(a->routing->messages.size() == 1U);
    BOOST_TEST(b->owner->messages.size() == 1U);
}

BOOST_AUTO_TEST_CASE(peer_that_does_not_read_is_closed_at_the_limit)
{
    raw_peer b;
    auto const a = start_node(
        {.self = {"a"}, .silence_limit = 60s, .max_queued_bytes = 4U << 20});
    send(a->link, view_of({listed({"b"}, b.port())}));
    auto offered = offer_number(1);
    send(a->link, send_owner_request{{"b"}, offered});
    b.accept();
    b.greet({"b"});
    std::ignore = b.read_frame();
    offered.request.body = std::make_shared<std::string>(1U << 20, 'b');
    for (std::uint64_t n = 2; n < 66; ++n)
    {
        offered.attempt.request.sequence = n;
        send(a->link, send_owner_request{{"b"}, offered});
    }
    await<link_lost>(*a->routing);
    // What was still queued is answered: nothing of it can have left.
    BOOST_TEST(await<owner_reply_received>(*a->routing).size() > 1U);
}

BOOST_AUTO_TEST_CASE(foreign_bytes_close_their_connection_only)
{
    auto const a = start_node({.self = {"a"}});
    auto const b = start_node({.self = {"b"}});
    send(a->link, view_of({listed({"b"}, *b->port)}));
    send(a->link, send_owner_request{{"b"}, offer_number(1)});
    await<owner_request_received>(*b->owner);
    boost::asio::io_context io;
    tcp::socket foreign{io};
    foreign.connect({boost::asio::ip::make_address("127.0.0.1"), *b->port});
    boost::asio::write(foreign, boost::asio::buffer("GET / HTTP/1.1\r\n\r\n"));
    BOOST_TEST(is_closed_by_peer(foreign));
    send(a->link, send_owner_request{{"b"}, offer_number(2)});
    await<owner_request_received>(*b->owner, 2);
    BOOST_TEST(a->routing->messages.empty());
}

BOOST_AUTO_TEST_CASE(requests_before_the_greeting_are_refused)
{
    auto const b = start_node({.self = {"b"}});
    boost::asio::io_context io;
    tcp::socket rude{io};
    rude.connect({boost::asio::ip::make_address("127.0.0.1"), *b->port});
    std::string bytes;
    BOOST_REQUIRE(wire::append_frame(bytes, offer_number(1), {}));
    boost::asio::write(rude, boost::asio::buffer(bytes));
    BOOST_TEST(is_closed_by_peer(rude));
    BOOST_TEST(b->owner->messages.empty());
}

BOOST_AUTO_TEST_CASE(restarted_router_replaces_its_former_connection)
{
    auto const b = start_node({.self = {"b"}});
    auto const view = view_of({listed({"b"}, *b->port)});
    auto first = start_node({.self = {"a"}, .started = 1});
    send(first->link, view);
    send(first->link, send_owner_request{{"b"}, offer_number(1)});
    await<owner_request_received>(*b->owner);
    auto const second = start_node({.self = {"a"}, .started = 2});
    send(second->link, view);
    send(second->link, send_owner_request{{"b"}, offer_number(2)});
    await<owner_request_received>(*b->owner, 2);
    std::lock_guard const lock{b->owner->mutex};
    auto const& got = b->owner->messages;
    BOOST_REQUIRE(got.size() == 3U);
    BOOST_TEST(std::holds_alternative<link_lost>(got[1]));
}

BOOST_AUTO_TEST_SUITE_END()
