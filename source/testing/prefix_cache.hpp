/// Prompt-prefix cache of a model engine: per chat, limited in tokens, the
/// chat used least recently is evicted first.
#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bramleyarch::testing
{

/// A prompt as a chain of messages: the hash of each prefix and its length.
struct prompt
{
    std::vector<std::uint64_t> prefix_hashes;
    std::vector<std::uint32_t> prefix_tokens;
};

/// Appends a message to the chain. A token is four bytes, rounded up.
void append_message(prompt& p, std::string_view content);

/// Reads the messages of a chat request; empty when there are none.
prompt read_prompt(std::string_view body);

/// Number of tokens of the whole prompt.
std::uint32_t tokens_of(prompt const& p);

struct prefix_cache
{
    std::uint64_t limit_tokens = 0;
    std::uint64_t held_tokens = 0;
    std::list<prompt> chats; ///< Used last first.
    /// By the hash of the chat's first message.
    std::unordered_map<std::uint64_t, std::list<prompt>::iterator> by_chat;
};

/// Tokens of the longest prefix of `p` that is held.
std::uint32_t cached_tokens(prefix_cache const& cache, prompt const& p);

/// Holds `p` in place of what was held of its chat.
void remember(prefix_cache& cache, prompt p);

void clear(prefix_cache& cache);

} // namespace bramleyarch::testing
