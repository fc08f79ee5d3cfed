#include "testing/fault_proxy.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>

namespace bramleyarch::testing
{

namespace
{

using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;
using stream_ptr = std::shared_ptr<proxy_stream>;

constexpr std::size_t buffer_bytes = 64U << 10;
constexpr std::uint32_t permille = 1000;

auto const loopback = asio::ip::address_v4::loopback();

void close_stream(proxy_stream& s, bool reset)
{
    for (auto* socket : {&s.sender, &s.target})
    {
        error_code ignored;
        if (reset)
            socket->set_option(asio::socket_base::linger{true, 0}, ignored);
        socket->close(ignored);
    }
}

bool closes(proxy_mode mode)
{
    return mode == proxy_mode::cut || mode == proxy_mode::reset;
}

bool swallows(proxy_mode mode, bool to_target)
{
    if (mode == proxy_mode::silence)
        return true;
    return mode == (to_target ? proxy_mode::silence_to_target
                              : proxy_mode::silence_to_sender);
}

asio::awaitable<void> wait_ms(asio::io_context& io, std::uint32_t ms)
{
    asio::steady_timer timer{io};
    co_await sleep(timer, std::chrono::milliseconds{ms});
}

/// Applies the rule to `size` bytes; false when the stream must close.
bool may_go_on(fault_proxy& proxy, proxy_stream& s, bool to_target)
{
    auto const rule = rule_of(proxy, s.pair);
    bool const lost = rule.mode == proxy_mode::lose_replies && !to_target;
    if (!closes(rule.mode) && !lost)
        return true;
    close_stream(s, rule.mode == proxy_mode::reset);
    return false;
}

void identify(fault_proxy& proxy, proxy_stream& s, std::string_view bytes)
{
    if (std::exchange(s.identified, true))
        return;
    s.pair.first = find_sender(proxy.names, bytes);
    ++proxy.counts[s.pair].connections;
}

asio::awaitable<void> pump(proxy_ptr proxy, stream_ptr s, bool to_target)
{
    auto& from = to_target ? s->sender : s->target;
    auto& to = to_target ? s->target : s->sender;
    std::string buffer(buffer_bytes, '\0');
    error_code error;
    while (true)
    {
        std::size_t const size = co_await from.async_read_some(
            asio::buffer(buffer),
            asio::redirect_error(asio::use_awaitable, error));
        if (error)
            break;
        if (to_target)
            identify(*proxy, *s, {buffer.data(), size});
        if (!may_go_on(*proxy, *s, to_target))
            break;
        auto const rule = rule_of(*proxy, s->pair);
        if (rule.delay_ms > 0)
            co_await wait_ms(proxy->io, rule.delay_ms);
        if (s->silent || swallows(rule.mode, to_target))
            continue;
        auto& count = proxy->counts[s->pair];
        (to_target ? count.to_target : count.to_sender) += size;
        co_await asio::async_write(
            to, asio::buffer(buffer.data(), size),
            asio::redirect_error(asio::use_awaitable, error));
        if (error)
            break;
    }
    bool const quiet =
        s->silent || swallows(rule_of(*proxy, s->pair).mode, to_target);
    if (!quiet && to.is_open())
        to.shutdown(tcp::socket::shutdown_send, error);
}

asio::awaitable<void> run_stream(proxy_ptr proxy, stream_ptr s,
                                 std::uint16_t port)
{
    error_code error;
    co_await s->target.async_connect(
        {loopback, port}, asio::redirect_error(asio::use_awaitable, error));
    if (error)
    {
        close_stream(*s, true);
        co_return;
    }
    s->sender.set_option(tcp::no_delay{true}, error);
    s->target.set_option(tcp::no_delay{true}, error);
    proxy->open.insert(s);
    asio::co_spawn(proxy->io, pump(proxy, s, false), asio::detached);
    co_await pump(proxy, s, true);
    proxy->open.erase(s);
}

asio::awaitable<void> accept_all(proxy_ptr proxy, std::size_t index,
                                 std::shared_ptr<tcp::acceptor> acceptor)
{
    while (true)
    {
        error_code error;
        tcp::socket socket = co_await acceptor->async_accept(
            asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        auto const& target = proxy->targets[index];
        auto s = std::make_shared<proxy_stream>(
            proxy_stream{.sender = std::move(socket),
                         .target = tcp::socket{proxy->io},
                         .pair = {"", target.name}});
        if (!may_go_on(*proxy, *s, true))
            continue;
        asio::co_spawn(proxy->io, run_stream(proxy, s, target.tcp_target),
                       asio::detached);
    }
}

/// Sends answers of the target back to one sender.
asio::awaitable<void> return_datagrams(proxy_ptr proxy, std::string name,
                                       std::shared_ptr<udp::socket> listener,
                                       std::shared_ptr<udp::socket> socket,
                                       udp::endpoint sender)
{
    std::string buffer(buffer_bytes, '\0');
    while (true)
    {
        error_code error;
        std::size_t const size = co_await socket->async_receive(
            asio::buffer(buffer),
            asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
            continue;
        proxy_pair const pair{"", name};
        if (rule_of(*proxy, pair).mode != proxy_mode::pass)
            continue;
        proxy->counts[pair].to_sender += size;
        listener->send_to(asio::buffer(buffer.data(), size), sender, 0, error);
    }
}

asio::awaitable<void> send_later(proxy_ptr proxy, std::uint32_t delay_ms,
                                 std::shared_ptr<udp::socket> socket,
                                 std::string bytes, std::uint16_t port)
{
    co_await wait_ms(proxy->io, delay_ms);
    error_code ignored;
    socket->send_to(asio::buffer(bytes), {loopback, port}, 0, ignored);
}

bool drops(fault_proxy& proxy, proxy_rule const& rule)
{
    if (rule.drop_permille > 0 &&
        proxy.random() % permille < rule.drop_permille)
        return true;
    return closes(rule.mode) || swallows(rule.mode, true);
}

asio::awaitable<void> relay_datagrams(proxy_ptr proxy, std::size_t index,
                                      std::shared_ptr<udp::socket> listener)
{
    std::map<udp::endpoint, std::shared_ptr<udp::socket>> sockets;
    std::string buffer(buffer_bytes, '\0');
    while (true)
    {
        error_code error;
        udp::endpoint sender;
        std::size_t const size = co_await listener->async_receive_from(
            asio::buffer(buffer), sender,
            asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
            continue;
        auto const& target = proxy->targets[index];
        std::string bytes{buffer.data(), size};
        proxy_pair const pair{find_sender(proxy->names, bytes), target.name};
        auto const rule = rule_of(*proxy, pair);
        if (drops(*proxy, rule))
            continue;
        auto& count = proxy->counts[pair];
        count.to_target += size;
        ++count.datagrams;
        auto& socket = sockets[sender];
        if (!socket)
        {
            socket = std::make_shared<udp::socket>(proxy->io,
                                                   udp::endpoint{loopback, 0});
            asio::co_spawn(
                proxy->io,
                return_datagrams(proxy, target.name, listener, socket, sender),
                asio::detached);
        }
        asio::co_spawn(proxy->io,
                       send_later(proxy, rule.delay_ms, socket,
                                  std::move(bytes), target.udp_target),
                       asio::detached);
    }
}

bool matches(proxy_pair const& rule, proxy_pair const& pair)
{
    return (rule.first == "*" || rule.first == pair.first) &&
           (rule.second == "*" || rule.second == pair.second);
}

void set_rule(fault_proxy& proxy, nlohmann::json const& request)
{
    proxy_pair const pair{request.value("from", "*"), request.value("to", "*")};
    auto& rule = proxy.rules[pair];
    auto const mode = request.value("mode", std::string{to_name(rule.mode)});
    rule.mode = from_name<proxy_mode>(mode).value_or(proxy_mode::pass);
    rule.delay_ms = request.value("delay_ms", rule.delay_ms);
    rule.drop_permille = request.value("drop_permille", rule.drop_permille);
    bool const silence_open = request.value("silence_open", false);
    for (auto const& s : proxy.open)
    {
        if (!matches(pair, s->pair))
            continue;
        s->silent = s->silent || silence_open;
        if (closes(rule.mode))
            close_stream(*s, rule.mode == proxy_mode::reset);
    }
}

} // namespace

proxy_rule rule_of(fault_proxy const& proxy, proxy_pair const& pair)
{
    std::array<proxy_pair, 4> const keys{pair, proxy_pair{pair.first, "*"},
                                         proxy_pair{"*", pair.second},
                                         proxy_pair{"*", "*"}};
    for (auto const& key : keys)
    {
        if (auto const found = proxy.rules.find(key);
            found != proxy.rules.end())
            return found->second;
    }
    return {};
}

std::string find_sender(std::vector<std::string> const& names,
                        std::string_view bytes)
{
    std::string first;
    std::size_t first_at = std::string_view::npos;
    for (auto const& name : names)
    {
        std::size_t const at = bytes.find(name);
        bool const longer = at == first_at && name.size() > first.size();
        if (at < first_at || (at != std::string_view::npos && longer))
        {
            first = name;
            first_at = at;
        }
    }
    return first;
}

proxy_ptr start_proxy(asio::io_context& io, std::vector<proxy_target> targets)
{
    auto proxy = std::make_shared<fault_proxy>(io);
    proxy->targets = std::move(targets);
    for (std::size_t i = 0; i < proxy->targets.size(); ++i)
    {
        auto& target = proxy->targets[i];
        proxy->names.push_back(target.name);
        auto acceptor = std::make_shared<tcp::acceptor>(
            io, tcp::endpoint{loopback, target.tcp_listen});
        target.tcp_listen = acceptor->local_endpoint().port();
        asio::co_spawn(io, accept_all(proxy, i, acceptor), asio::detached);
        auto socket = std::make_shared<udp::socket>(
            io, udp::endpoint{loopback, target.udp_listen});
        target.udp_listen = socket->local_endpoint().port();
        asio::co_spawn(io, relay_datagrams(proxy, i, socket), asio::detached);
    }
    return proxy;
}

void control_proxy(proxy_ptr const& proxy, nlohmann::json const& request)
{
    if (request.contains("seed"))
        proxy->random.seed(request["seed"].get<std::uint64_t>());
    if (request.value("clear", false))
        proxy->rules.clear();
    for (auto& target : proxy->targets)
    {
        if (target.name != request.value("target", std::string{}))
            continue;
        target.tcp_target = request.value("tcp", target.tcp_target);
        target.udp_target = request.value("udp", target.udp_target);
    }
    if (request.contains("mode") || request.contains("delay_ms") ||
        request.contains("drop_permille") || request.contains("silence_open"))
        set_rule(*proxy, request);
}

nlohmann::json describe_proxy(fault_proxy const& proxy)
{
    nlohmann::json targets = nlohmann::json::array();
    for (auto const& target : proxy.targets)
        targets.push_back({{"name", target.name},
                           {"tcp", target.tcp_listen},
                           {"udp", target.udp_listen}});
    nlohmann::json pairs = nlohmann::json::array();
    for (auto const& [pair, count] : proxy.counts)
        pairs.push_back({{"from", pair.first},
                         {"to", pair.second},
                         {"to_target", count.to_target},
                         {"to_sender", count.to_sender},
                         {"connections", count.connections},
                         {"datagrams", count.datagrams}});
    return {{"targets", targets}, {"pairs", pairs}};
}

} // namespace bramleyarch::testing
