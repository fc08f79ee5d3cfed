#include "testing/prefix_cache.hpp"

#include "common/digest.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace bramleyarch::testing
{

namespace
{

constexpr std::size_t bytes_per_token = 4;

void evict_last(prefix_cache& cache)
{
    auto const& last = cache.chats.back();
    cache.held_tokens -= tokens_of(last);
    cache.by_chat.erase(last.prefix_hashes.front());
    cache.chats.pop_back();
}

} // namespace

void append_message(prompt& p, std::string_view content)
{
    std::uint64_t const before =
        p.prefix_hashes.empty() ? 0 : p.prefix_hashes.back();
    auto const tokens = static_cast<std::uint32_t>(
        (content.size() + bytes_per_token - 1) / bytes_per_token);
    p.prefix_hashes.push_back(mix(before, name_hash(content)));
    p.prefix_tokens.push_back(tokens_of(p) + tokens);
}

prompt read_prompt(std::string_view body)
{
    prompt p;
    auto const json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("messages"))
        return p;
    for (auto const& message : json["messages"])
    {
        if (message.is_object())
            append_message(p, message.value("content", std::string{}));
    }
    return p;
}

std::uint32_t tokens_of(prompt const& p)
{
    return p.prefix_tokens.empty() ? 0 : p.prefix_tokens.back();
}

std::uint32_t cached_tokens(prefix_cache const& cache, prompt const& p)
{
    if (p.prefix_hashes.empty())
        return 0;
    auto const found = cache.by_chat.find(p.prefix_hashes.front());
    if (found == cache.by_chat.end())
        return 0;
    auto const& held = found->second->prefix_hashes;
    std::size_t const most = std::min(held.size(), p.prefix_hashes.size());
    std::size_t same = 0;
    while (same < most && held[same] == p.prefix_hashes[same])
        ++same;
    return same == 0 ? 0 : p.prefix_tokens[same - 1];
}

void remember(prefix_cache& cache, prompt p)
{
    if (p.prefix_hashes.empty() || tokens_of(p) > cache.limit_tokens)
        return;
    std::uint64_t const chat = p.prefix_hashes.front();
    if (auto const found = cache.by_chat.find(chat);
        found != cache.by_chat.end())
    {
        if (cached_tokens(cache, p) == tokens_of(p))
        {
            // What is held goes on beyond this prompt.
            cache.chats.splice(cache.chats.begin(), cache.chats, found->second);
            return;
        }
        cache.held_tokens -= tokens_of(*found->second);
        cache.chats.erase(found->second);
        cache.by_chat.erase(found);
    }
    cache.held_tokens += tokens_of(p);
    cache.chats.push_front(std::move(p));
    cache.by_chat[chat] = cache.chats.begin();
    while (cache.held_tokens > cache.limit_tokens)
        evict_last(cache);
}

void clear(prefix_cache& cache)
{
    cache.chats.clear();
    cache.by_chat.clear();
    cache.held_tokens = 0;
}

} // namespace bramleyarch::testing
