/// A scripted TCP server: reads one request per connection, writes the bytes
/// that it was told to write, and ends the connection in the way it was told.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bramleyarch::testing
{

enum class ending
{
    close, ///< Orderly close after the last byte.
    reset, ///< RST after the last byte.
    hold,  ///< Stay open and silent until the peer closes.
    keep,  ///< Read the next request.
};

/// What is written in answer to a request. `{id}` in a part stands for the
/// value of the request's header `x-bramleyarch-request-id`.
struct raw_reply
{
    std::string when{}; ///< Text that the request contains.
    std::vector<std::string> parts{};
    ending then = ending::close;
    /// The last part is written again until the peer closes.
    bool endless = false;
};

struct raw_script
{
    bool read_request = true; ///< False: write and end at once.
    std::vector<std::string> parts{};
    ending then = ending::close;
    /// Time between the last byte and the end of the connection.
    std::chrono::milliseconds pause{};
    /// The first one that fits a request goes before `parts` and `then`.
    std::vector<raw_reply> replies{};
};

class raw_server
{
public:
    explicit raw_server(raw_script script);
    ~raw_server();
    raw_server(raw_server const&) = delete;
    raw_server& operator=(raw_server const&) = delete;

    [[nodiscard]] std::uint16_t port() const;
    /// Requests read so far, each as it came.
    [[nodiscard]] std::vector<std::string> requests() const;
    /// Connections that the peer closed while they were held.
    [[nodiscard]] std::size_t closed_by_peer() const;

    struct impl;

private:
    std::unique_ptr<impl> impl_;
};

/// Text of a whole answer with a length.
std::string plain_answer(std::string const& body);

} // namespace bramleyarch::testing
