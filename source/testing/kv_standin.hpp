/// Stand-in of the platform's key-value service over HTTP, with limited
/// rates and faults on command.
#pragma once

#include "common/enum_names.hpp"
#include "testing/http_server.hpp"
#include "testing/kv_store.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace bramleyarch::testing
{

/// Where transactions on claims wait until they are released.
enum class claim_hold : std::uint8_t
{
    none,
    call,  ///< Before it runs; dropped when its client has gone.
    reply, ///< After it ran, before its reply.
};

constexpr auto enum_names(claim_hold)
{
    using h = claim_hold;
    using row = enum_name<claim_hold>;
    return std::array{
        row{h::none, "none"},
        row{h::call, "call"},
        row{h::reply, "reply"},
    };
}

struct kv_faults
{
    bool silent = false;        ///< Reads calls, runs none, answers none.
    bool mute_watches = false;  ///< Watches stay open and get nothing.
    std::uint32_t delay_ms = 1; ///< Before each call runs.
    std::uint32_t lost_reply_permille = 0; ///< Runs the call, then closes.
    std::uint32_t lost_call_permille = 0;  ///< Closes before it runs.
    claim_hold hold_claims = claim_hold::none;
};

/// Calls within the running second.
struct rate_window
{
    std::int64_t second = 0;
    std::uint32_t calls = 0;
};

struct kv_standin
{
    explicit kv_standin(asio::io_context& context) : io(context) {}

    asio::io_context& io;
    kv_store store;
    kv_faults faults;
    std::uint32_t writes_per_second = 400;
    std::uint32_t reads_per_second = 2'000;
    rate_window writes;
    rate_window reads;
    std::map<std::string, std::uint64_t> calls; ///< By path.
    std::uint64_t refused = 0;                  ///< Above the rates.
    std::uint32_t watches = 0;
    std::uint32_t held = 0; ///< Transactions that wait at `hold_claims`.
    std::mt19937_64 random{1};
    listener_ptr listener;
    bool down = false;
};

using kv_ptr = std::shared_ptr<kv_standin>;

/// Starts the service on `port`.
kv_ptr start_kv(asio::io_context& io, std::uint16_t port);

/// Applies a control request: faults, rates, seed, `down`.
void control_kv(kv_ptr const& kv, nlohmann::json const& request);

/// State for the control endpoint.
nlohmann::json describe_kv(kv_standin const& kv);

} // namespace bramleyarch::testing
