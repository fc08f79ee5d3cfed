#include "control/load/expected_answer.hpp"

#include "common/digest.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>

namespace bramleyarch::load
{

namespace
{

constexpr std::uint64_t least_tokens = 8;
constexpr std::uint64_t token_spread = 24;
constexpr std::uint64_t most_tokens = 65'536;

std::string make_event(std::uint64_t id, std::string_view token)
{
    return fmt::format("data: {{\"id\":\"chat-{:016x}\",\"object\":"
                       "\"chat.completion.chunk\",\"choices\":[{{\"index\":0,"
                       "\"delta\":{{\"content\":\"{}\"}}}}]}}\n\n",
                       id, token);
}

std::string make_whole(std::uint64_t id, std::string_view text)
{
    return fmt::format("{{\"id\":\"chat-{:016x}\",\"object\":"
                       "\"chat.completion\",\"choices\":[{{\"index\":0,"
                       "\"message\":{{\"role\":\"assistant\",\"content\":"
                       "\"{}\"}},\"finish_reason\":\"stop\"}}]}}",
                       id, text);
}

} // namespace

expected_chat expect_chat(std::string_view body)
{
    auto const json = nlohmann::json::parse(body, nullptr, false);
    std::uint64_t const id = fingerprint(body);
    std::uint64_t tokens = least_tokens + id % token_spread;
    expected_chat made;
    if (json.is_object())
    {
        made.stream = json.value("stream", false);
        tokens = std::min(json.value("max_tokens", tokens), most_tokens);
    }
    for (std::uint64_t i = 0; i < tokens; ++i)
    {
        std::string const token = fmt::format("{:x} ", mix(id, i) >> 40);
        made.text += token;
        made.events.push_back(make_event(id, token));
    }
    made.events.emplace_back("data: [DONE]\n\n");
    made.whole = make_whole(id, made.text);
    return made;
}

std::string expect_chat_body(std::string_view body)
{
    auto const chat = expect_chat(body);
    if (!chat.stream)
        return chat.whole;
    std::string joined;
    for (auto const& event : chat.events)
        joined += event;
    return joined;
}

std::string expect_plain_body(std::string_view body)
{
    return fmt::format("{{\"done\":\"{:016x}\",\"length\":{}}}",
                       fingerprint(body), body.size());
}

} // namespace bramleyarch::load
