/// Tests of the faults that the fleet link distinguishes: a peer that is
/// unreachable, disconnects, sends nothing, does not read, or is no router.
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

/// A fake peer that accepts a connection and reads and writes single frames.
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
        auto decoded = wire::decode_frame(bytes, {});
        BOOST_REQUIRE(decoded);
        BOOST_REQUIRE(decoded.value());
        return decoded.value()->what;
    }

    void write_frame(wire::frame const& what)
    {
        std::string bytes;
        BOOST_REQUIRE(wire::append_frame(bytes, what, {}));
        boost::asio::write(socket, boost::asio::buffer(bytes));
    }

    void exchange_hello(router_id const& as)
    {
        auto const received = std::get<wire::hello>(read_frame());
        write_frame(wire::hello{.from = as, .to = received.from, .started = 1});
    }
};

/// Reads until the peer closes the connection, then returns true.
bool is_closed_by_peer(tcp::socket& socket)
{
    std::array<char, 4096> bytes{};
    boost::system::error_code failed;
    while (!failed)
        socket.read_some(boost::asio::buffer(bytes), failed);
    return true;
}

redirect await_single_redirect(link_node& node)
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
    send(a->link, send_owner_request{{"nobody"}, make_offer(1)});
    auto const answer = await_single_redirect(*a);
    BOOST_TEST((answer.cause == error_kind::owner_lost));
    BOOST_TEST((answer.attempt == make_offer(1).attempt));
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
        raw_peer closed_peer;
        port = closed_peer.port();
    }
    auto const a = start_node({.self = {"a"}});
    send(a->link, make_view({make_member({"b"}, port)}));
    send(a->link, send_owner_request{{"b"}, make_offer(1)});
    BOOST_TEST((await_single_redirect(*a).cause == error_kind::owner_lost));
    BOOST_TEST(a->routing->messages.size() == 1U);
}

BOOST_AUTO_TEST_CASE(unreachable_router_is_a_redirect_after_the_limit)
{
    raw_peer peer_without_hello;
    auto const a = start_node({.self = {"a"}, .connect_limit = 200ms});
    send(a->link, make_view({make_member({"b"}, peer_without_hello.port())}));
    send(a->link, send_owner_request{{"b"}, make_offer(1)});
    BOOST_TEST((await_single_redirect(*a).cause == error_kind::owner_lost));
}

BOOST_AUTO_TEST_CASE(router_with_another_id_receives_no_offer)
{
    auto const a = start_node({.self = {"a"}});
    auto const c = start_node({.self = {"c"}});
    send(a->link, make_view({make_member({"b"}, *c->port)}));
    send(a->link, send_owner_request{{"b"}, make_offer(1)});
    BOOST_TEST((await_single_redirect(*a).cause == error_kind::owner_lost));
    BOOST_TEST(c->owner->messages.empty());
}

BOOST_AUTO_TEST_CASE(lost_connection_is_reported_and_the_next_send_opens_one)
{
    raw_peer b;
    auto const a = start_node({.self = {"a"}});
    send(a->link, make_view({make_member({"b"}, b.port())}));
    send(a->link, send_owner_request{{"b"}, make_offer(1)});
    b.accept();
    b.exchange_hello({"b"});
    std::ignore = std::get<offer>(b.read_frame());
    b.socket.close();
    BOOST_TEST(await<link_lost>(*a->routing)[0].router.value == "b");
    send(a->link, send_owner_request{{"b"}, make_offer(2)});
    b.accept();
    b.exchange_hello({"b"});
    BOOST_TEST(std::get<offer>(b.read_frame()).attempt.request.sequence == 2U);
}

BOOST_AUTO_TEST_CASE(silent_connection_is_closed_and_the_next_send_opens_one)
{
    raw_peer b;
    auto const a = start_node(
        {.self = {"a"}, .heartbeat_interval = 100ms, .silence_limit = 1s});
    send(a->link, make_view({make_member({"b"}, b.port())}));
    send(a->link, send_owner_request{{"b"}, make_offer(1)});
    b.accept();
    b.exchange_hello({"b"});
    std::ignore = std::get<offer>(b.read_frame());
    std::ignore = std::get<wire::link_heartbeat>(b.read_frame());
    await<link_lost>(*a->routing);
    send(a->link, send_owner_request{{"b"}, make_offer(2)});
    b.accept();
    b.exchange_hello({"b"});
    BOOST_TEST(std::get<offer>(b.read_frame()).attempt.request.sequence == 2U);
}

BOOST_AUTO_TEST_CASE(silent_link_triggers_heartbeats_on_the_others)
{
    raw_peer b;
    raw_peer c;
    auto const a = start_node({.self = {"a"},
                               .heartbeat_interval = 100ms,
                               .silence_limit = 600ms,
                               .suspect_limit = 300ms});
    send(a->link, make_view({make_member({"b"}, b.port()),
                             make_member({"c"}, c.port())}));
    send(a->link, send_owner_request{{"c"}, make_offer(1)});
    c.accept();
    c.exchange_hello({"c"});
    std::ignore = std::get<offer>(c.read_frame());
    // Ends the request in flight. The link to c is now idle, where the
    // silence limit is 30 s.
    c.write_frame(answer_end{.attempt = make_offer(1).attempt});
    await<owner_reply_received>(*a->routing);
    send(a->link, send_owner_request{{"b"}, make_offer(2)});
    b.accept();
    b.exchange_hello({"b"});
    std::ignore = std::get<offer>(b.read_frame());
    auto const lost = await<link_lost>(*a->routing, 2);
    BOOST_TEST(lost[0].router.value == "b");
    BOOST_REQUIRE(lost[0].attempts.has_value());
    BOOST_TEST(lost[0].attempts->size() == 1U);
    BOOST_TEST(lost[1].router.value == "c");
    BOOST_TEST(lost[1].attempts->empty());
    // A lost link is reopened without a request and reported to routing.
    b.accept();
    b.exchange_hello({"b"});
    BOOST_TEST(await<link_opened>(*a->routing)[0].router.value == "b");
}

BOOST_AUTO_TEST_CASE(heartbeats_keep_a_slow_answer_alive)
{
    auto const a = start_node(
        {.self = {"a"}, .heartbeat_interval = 50ms, .silence_limit = 600ms});
    auto const b = start_node({.self = {"b"}, .silence_limit = 600ms});
    send(a->link, make_view({make_member({"b"}, *b->port)}));
    send(a->link, send_owner_request{{"b"}, make_offer(1)});
    await<owner_request_received>(*b->owner);
    std::this_thread::sleep_for(4s);
    send(b->link,
         send_owner_reply{{"a"}, answer_end{make_offer(1).attempt, 0, 0}});
    await<owner_reply_received>(*a->routing);
    BOOST_TEST(a->routing->messages.size() == 1U);
    BOOST_TEST(b->owner->messages.size() == 1U);
}

BOOST_AUTO_TEST_CASE(peer_that_does_not_read_is_closed_at_the_limit)
{
    raw_peer b;
    auto const a = start_node(
        {.self = {"a"}, .silence_limit = 60s, .max_queued_bytes = 4U << 20});
    send(a->link, make_view({make_member({"b"}, b.port())}));
    auto offered = make_offer(1);
    send(a->link, send_owner_request{{"b"}, offered});
    b.accept();
    b.exchange_hello({"b"});
    std::ignore = b.read_frame();
    offered.request.body = std::make_shared<std::string>(1U << 20, 'b');
    for (std::uint64_t sequence = 2; sequence < 66; ++sequence)
    {
        offered.attempt.request.sequence = sequence;
        send(a->link, send_owner_request{{"b"}, offered});
    }
    await<link_lost>(*a->routing);
    // The offers still queued were not sent, so each of them is redirected.
    BOOST_TEST(await<owner_reply_received>(*a->routing).size() > 1U);
}

BOOST_AUTO_TEST_CASE(invalid_bytes_close_only_their_connection)
{
    auto const a = start_node({.self = {"a"}});
    auto const b = start_node({.self = {"b"}});
    send(a->link, make_view({make_member({"b"}, *b->port)}));
    send(a->link, send_owner_request{{"b"}, make_offer(1)});
    await<owner_request_received>(*b->owner);
    boost::asio::io_context io;
    tcp::socket client{io};
    client.connect({boost::asio::ip::make_address("127.0.0.1"), *b->port});
    boost::asio::write(client, boost::asio::buffer("GET / HTTP/1.1\r\n\r\n"));
    BOOST_TEST(is_closed_by_peer(client));
    send(a->link, send_owner_request{{"b"}, make_offer(2)});
    await<owner_request_received>(*b->owner, 2);
    BOOST_TEST(a->routing->messages.empty());
}

BOOST_AUTO_TEST_CASE(request_before_the_hello_closes_the_connection)
{
    auto const b = start_node({.self = {"b"}});
    boost::asio::io_context io;
    tcp::socket client{io};
    client.connect({boost::asio::ip::make_address("127.0.0.1"), *b->port});
    std::string bytes;
    BOOST_REQUIRE(wire::append_frame(bytes, make_offer(1), {}));
    boost::asio::write(client, boost::asio::buffer(bytes));
    BOOST_TEST(is_closed_by_peer(client));
    BOOST_TEST(b->owner->messages.empty());
}

BOOST_AUTO_TEST_CASE(restarted_router_replaces_its_former_connection)
{
    auto const b = start_node({.self = {"b"}});
    auto const view = make_view({make_member({"b"}, *b->port)});
    auto first = start_node({.self = {"a"}, .started = 1});
    send(first->link, view);
    send(first->link, send_owner_request{{"b"}, make_offer(1)});
    await<owner_request_received>(*b->owner);
    auto const second = start_node({.self = {"a"}, .started = 2});
    send(second->link, view);
    send(second->link, send_owner_request{{"b"}, make_offer(2)});
    await<owner_request_received>(*b->owner, 2);
    std::lock_guard const lock{b->owner->mutex};
    auto const& received = b->owner->messages;
    BOOST_REQUIRE(received.size() == 3U);
    BOOST_TEST(std::holds_alternative<link_lost>(received[1]));
}

BOOST_AUTO_TEST_SUITE_END()
