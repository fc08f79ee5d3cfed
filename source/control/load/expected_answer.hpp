/// Answers of the stand-in servers as pure functions of the request, so that
/// a caller can tell byte for byte what the right answer is.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bramleyarch::load
{

/// The answer of a model engine to one chat request.
struct expected_chat
{
    bool stream = false;
    std::string text;                ///< Content of the assistant's message.
    std::vector<std::string> events; ///< Server-sent events, the end included.
    std::string whole;               ///< Body of an answer without streaming.
};

/// Computes the answer to the chat request `body`. The number of tokens is
/// its `max_tokens`, or follows from the hash of the body.
expected_chat expect_chat(std::string_view body);

/// Body of the answer to the chat request `body`, streamed or whole.
std::string expect_chat_body(std::string_view body);

/// Body of a plain server's answer to `body`.
std::string expect_plain_body(std::string_view body);

/// A body that contains this text takes its engine down.
constexpr std::string_view crash_marker = "crash-the-engine";

} // namespace bramleyarch::load
