/// The fields of a chat request's body that routing needs.
#pragma once

#include "common/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace bramleyarch::services
{

/// The parsed fields of a chat request's body.
struct chat_body
{
    std::string model;
    /// The serialised messages up to and including the first user message. A
    /// returning chat begins with the same messages; the user message
    /// distinguishes it from other chats with the same system prompt.
    std::string first_turn;
    std::uint64_t prompt_bytes = 0; ///< Size of the whole body.
    std::uint64_t max_tokens = 0;
};

/// Expected length of an answer when the body has no `max_tokens`.
constexpr std::uint64_t default_max_tokens = 256;

/// Parses the JSON body of `POST .../chat/completions`. Fails with
/// `invalid_request`; the detail names the invalid member.
result<chat_body> parse_chat_body(std::string_view text);

} // namespace bramleyarch::services
