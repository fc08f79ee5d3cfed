/// Stand-ins of the platform's store and servers, on one thread of their own.
#pragma once

#include "common/ids.hpp"
#include "testing/http_server.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace bramleyarch::test
{

enum class store_fault
{
    none,
    silent, ///< Takes calls and answers none.
    busy,   ///< 503 for every call.
};

/// The store: items with revisions, watches, leases that never lapse.
struct store_standin
{
    struct item
    {
        std::string value;
        revision changed = 0;
    };
    struct event
    {
        revision at = 0;
        std::string key;
        std::optional<std::string> value; ///< Nothing: removed.
    };

    std::mutex mutex;
    std::map<std::string, item> items;
    std::vector<event> events;
    revision last = 1;
    revision forgotten = 0; ///< Events up to it are no longer known.
    std::size_t page = 500; ///< Items of one page.
    std::map<std::string, int> calls;
    std::atomic<store_fault> fault{store_fault::none};
};

void put(store_standin& store, std::string const& key, std::string value);
void erase(store_standin& store, std::string const& key);
/// Drops the history, as a store that compacts does.
void forget_history(store_standin& store);
int calls_of(store_standin& store, std::string const& path);

/// What a server does with requests.
enum class server_fault
{
    none,
    sheds,        ///< Says that it did not run the request.
    resets,       ///< Closes the connection after reading the request.
    cut,          ///< Closes in the middle of the answer.
    no_signature, ///< Answers without its signature.
    silent,       ///< Answers nothing.
};

/// A server: answers with its id and what it got.
struct server_standin
{
    std::string id;
    std::uint16_t port = 0;
    std::mutex mutex;
    std::vector<std::string> ran;               ///< Callers' request ids.
    std::map<std::string, std::string> headers; ///< Of the last request.
    std::atomic<server_fault> fault{server_fault::none};
    std::atomic<int> running{0};
    std::atomic<int> left{0}; ///< Callers that left an unanswered request.
};

std::vector<std::string> runs_of(server_standin& server);

/// The value under which a server lists itself.
std::string server_entry(server_standin const& server, std::string state);

/// The thread that serves the stand-ins.
class standins
{
public:
    standins();
    ~standins();
    standins(standins const&) = delete;
    standins& operator=(standins const&) = delete;

    store_standin store;
    std::uint16_t store_port = 0;

    /// Serves one more server.
    void serve(server_standin& server);

private:
    testing::asio::io_context io_;
    testing::asio::executor_work_guard<testing::asio::io_context::executor_type>
        work_;
    std::vector<testing::listener_ptr> listeners_;
    std::thread thread_;
};

} // namespace bramleyarch::test
