/// Stand-ins for the platform's store and backend servers. All of them run on
/// one separate thread.
#pragma once

#include "common/ids.hpp"
#include "testing/http_server.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace bramleyarch::test
{

/// Fault that the stand-in of the store simulates.
enum class store_fault
{
    none,
    silent,            ///< Accepts requests and never responds.
    busy,              ///< Responds to every request with 503.
    unanswered_writes, ///< Executes writes and closes without a response.
    late_writes,       ///< As `unanswered_writes`, but executes them 1 s later.
};

/// Stand-in for the store, with items that have revisions, with watches,
/// conditional writes, and leases that never expire.
struct store_standin
{
    struct item
    {
        std::string value;
        revision changed = 0;
        revision created = 0;
    };
    struct event
    {
        revision at = 0;
        std::string key;
        std::optional<std::string> value; ///< std::nullopt: key removed.
    };

    std::mutex mutex;
    std::map<std::string, item> items;
    std::vector<event> events;
    revision last_revision = 1;
    revision compacted = 0;      ///< Events up to this revision are discarded.
    std::size_t page_size = 500; ///< Maximum number of items in a page.
    std::map<std::string, int> calls; ///< Number of requests by path.
    std::atomic<store_fault> fault{store_fault::none};
};

void put(store_standin& store, std::string const& key, std::string value);
void erase(store_standin& store, std::string const& key);
/// Returns the value of a key; std::nullopt if it does not exist.
std::optional<std::string> value_of(store_standin& store,
                                    std::string const& key);
/// Discards all events, as a store does when it compacts its history.
void compact_history(store_standin& store);
/// Returns the number of requests to a path of the store.
int call_count(store_standin& store, std::string const& path);

/// Fault that the stand-in of a server simulates.
enum class server_fault
{
    none,
    not_executed, ///< Responds that it did not run the request.
    reset,        ///< Closes the connection after reading the request.
    cut_answer,   ///< Closes the connection in the middle of the answer.
    no_signature, ///< Answers without the signature header.
    silent,       ///< Never answers.
    failing,      ///< Runs requests and responds with 500.
};

/// Stand-in for a backend server. Answers with its id and the body of the
/// request. A request whose path ends in `/chat/N` gets a stream of N events.
/// Its query can replace the time between events (`gap`, in ms) and delay the
/// stream (`wait`, in ms) or make its events larger (`bytes` of data); with
/// `reject`, the first server that gets it waits for so many ms and says that
/// it did not run it.
struct server_standin
{
    std::string id;
    std::string version; ///< Stated in its entry unless it is empty.
    std::uint16_t port = 0;
    std::mutex mutex;
    /// Callers' ids of the requests that were run, in order.
    std::vector<std::string> executed;
    std::map<std::string, std::string> headers; ///< Of the last request.
    std::atomic<server_fault> fault{server_fault::none};
    std::chrono::milliseconds event_gap{0}; ///< Between events of a stream.
    std::atomic<int> running{0};            ///< Requests in progress.
    /// Requests whose connection was closed before they were answered.
    std::atomic<int> abandoned{0};
};

/// Returns the callers' ids of the requests that a server has run.
std::vector<std::string> executed_requests(server_standin& server);

/// Encodes the value of the key with which a server registers itself.
std::string encode_server_entry(server_standin const& server,
                                std::string state);

/// Stand-in of the store and the thread that runs all stand-ins.
class standins
{
public:
    standins();
    ~standins();
    standins(standins const&) = delete;
    standins& operator=(standins const&) = delete;

    store_standin store;
    std::uint16_t store_port = 0;

    /// Starts a server on a free port and sets its `port`.
    void start_server(server_standin& server);

private:
    testing::asio::io_context io_;
    std::set<std::string> rejected_; ///< Callers' ids, by all servers.
    testing::asio::executor_work_guard<testing::asio::io_context::executor_type>
        work_;
    std::vector<testing::listener_ptr> listeners_;
    std::thread thread_;
};

} // namespace bramleyarch::test
