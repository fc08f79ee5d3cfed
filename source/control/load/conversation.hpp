/// Bodies of the requests of a chat that returns: each turn repeats the
/// messages and answers before it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bramleyarch::load
{

/// One message in the chat-completions form.
struct chat_message
{
    std::string role;
    std::string content;
};

struct conversation
{
    std::uint64_t id = 0;
    std::uint32_t generation = 0; ///< Raised when the chat starts afresh.
    std::uint32_t turn = 0;       ///< Turns so far.
    std::vector<chat_message> messages;
    std::uint64_t last_body_hash = 0; ///< 0: no turn yet.
};

/// What a turn asks for.
struct turn_options
{
    std::string model;
    bool stream = false;
    std::uint32_t max_tokens = 0; ///< 0: left to the server.
    std::uint32_t max_turns = 0;
};

/// A turn with its exact answer.
struct chat_turn
{
    std::string chat_id; ///< Value of the chat id header.
    std::uint32_t turn = 0;
    std::string body;
    std::uint64_t body_hash = 0;
    std::uint64_t last_body_hash = 0; ///< Of the turn before; 0: none.
    std::string expected;
};

/// Adds a turn to `c` and the answer that it will get.
chat_turn next_turn(conversation& c, turn_options const& options);

} // namespace bramleyarch::load
