/// Fault-injecting TCP and UDP proxy: listens for each target and applies to
/// its traffic the rule of the pair of sender and target.
///
/// The sender of a connection or datagram is the known name that stands
/// first in its first bytes; traffic without one has the sender "".
#pragma once

#include "common/enum_names.hpp"
#include "testing/http_server.hpp"

#include <boost/asio/ip/udp.hpp>
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bramleyarch::testing
{

enum class proxy_mode : std::uint8_t
{
    pass,
    cut,               ///< Closes connections, drops datagrams.
    reset,             ///< As `cut`, with a TCP reset.
    silence,           ///< Connections stay open and nothing passes.
    silence_to_target, ///< Only answers pass.
    silence_to_sender, ///< Only requests pass.
    lose_replies,      ///< Requests pass; the first answer byte closes.
};

constexpr auto enum_names(proxy_mode)
{
    using m = proxy_mode;
    using row = enum_name<proxy_mode>;
    return std::array{
        row{m::pass, "pass"},
        row{m::cut, "cut"},
        row{m::reset, "reset"},
        row{m::silence, "silence"},
        row{m::silence_to_target, "silence_to_target"},
        row{m::silence_to_sender, "silence_to_sender"},
        row{m::lose_replies, "lose_replies"},
    };
}

struct proxy_rule
{
    proxy_mode mode = proxy_mode::pass;
    std::uint32_t delay_ms = 0;
    std::uint32_t drop_permille = 0; ///< Of datagrams.
};

/// Sender and target; "*" stands for any in a rule.
using proxy_pair = std::pair<std::string, std::string>;

struct proxy_bytes
{
    std::uint64_t to_target = 0;
    std::uint64_t to_sender = 0;
    std::uint64_t connections = 0;
    std::uint64_t datagrams = 0;
};

/// One proxied TCP connection.
struct proxy_stream
{
    asio::ip::tcp::socket sender;
    asio::ip::tcp::socket target;
    proxy_pair pair;
    bool identified = false;
    bool silent = false; ///< Went silent while it was open.
};

struct proxy_target
{
    std::string name;
    std::uint16_t tcp_listen = 0;
    std::uint16_t tcp_target = 0;
    std::uint16_t udp_listen = 0;
    std::uint16_t udp_target = 0;
};

struct fault_proxy
{
    explicit fault_proxy(asio::io_context& context) : io(context) {}

    asio::io_context& io;
    std::vector<std::string> names;
    std::vector<proxy_target> targets;
    std::map<proxy_pair, proxy_rule> rules;
    std::map<proxy_pair, proxy_bytes> counts;
    std::set<std::shared_ptr<proxy_stream>> open;
    std::mt19937_64 random{1};
};

using proxy_ptr = std::shared_ptr<fault_proxy>;

/// Listens for `targets`, on free ports where the listening port is 0; a
/// target port of 0 has no listener until `set_target` names one.
proxy_ptr start_proxy(asio::io_context& io, std::vector<proxy_target> targets);

/// Rule in force for a pair: its own, its sender's, its target's, any.
proxy_rule rule_of(fault_proxy const& proxy, proxy_pair const& pair);

/// Name in `names` that stands first in `bytes`, empty when none does.
std::string find_sender(std::vector<std::string> const& names,
                        std::string_view bytes);

/// Sets rules, target ports, the seed, or silences open connections.
void control_proxy(proxy_ptr const& proxy, nlohmann::json const& request);

/// Ports and byte counts for the control endpoint.
nlohmann::json describe_proxy(fault_proxy const& proxy);

} // namespace bramleyarch::testing
