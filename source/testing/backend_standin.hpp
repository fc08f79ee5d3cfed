/// Stand-in backend servers: model engines and plain servers over HTTP.
#pragma once

#include "common/enum_names.hpp"
#include "testing/engine_model.hpp"
#include "testing/http_server.hpp"
#include "testing/run_log.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bramleyarch::testing
{

enum class standin_kind : std::uint8_t
{
    engine,
    plain,
};

constexpr auto enum_names(standin_kind)
{
    return std::array{
        enum_name<standin_kind>{standin_kind::engine, "engine"},
        enum_name<standin_kind>{standin_kind::plain, "plain"},
    };
}

/// Faults switched on by the control endpoint. Counts are used up.
struct standin_faults
{
    bool silent = false;                ///< Reads and runs, never answers.
    bool hold_answers = false;          ///< Plain: runs, answers when unset.
    std::uint32_t close_after_read = 0; ///< Runs, then closes.
    std::uint32_t cut_in_answer = 0;    ///< Closes after half the events.
};

/// A request that waits for a place in the batch.
struct batch_waiter
{
    std::uint32_t priority = 0; ///< Lower goes first.
    std::uint64_t sequence = 0;
    asio::steady_timer* timer = nullptr;
    bool admitted = false;
};

struct backend_standin
{
    explicit backend_standin(asio::io_context& context) : io(context) {}

    asio::io_context& io;
    std::string name;
    standin_kind kind = standin_kind::engine;
    engine_state model;
    standin_faults faults;
    run_log* log = nullptr; ///< Shared by the servers of a process.
    listener_ptr listener;
    std::vector<batch_waiter*> queue;
    std::uint64_t sequence = 0;
    std::int64_t highest_fencing_number = 0;
    std::uint32_t orders = 0;
    std::uint32_t orders_refused = 0;
};

using standin_ptr = std::shared_ptr<backend_standin>;

/// Starts a server on `port`; `log` must outlive it.
standin_ptr start_backend(asio::io_context& io, standin_kind kind,
                          std::string name, std::uint16_t port,
                          engine_options const& options, run_log& log);

/// Closes all connections, loses the cache and restarts later as a new
/// incarnation on the same port.
void fall_over(standin_ptr const& s);

/// Applies a control request to one server.
void control_backend(standin_ptr const& s, nlohmann::json const& request);

/// State for the control endpoint.
nlohmann::json describe_backend(backend_standin& s);

} // namespace bramleyarch::testing
