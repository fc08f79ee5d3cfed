#include "control/load/conversation.hpp"

#include "common/digest.hpp"
#include "control/load/expected_answer.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bramleyarch::load
{

namespace
{

constexpr int words_per_message = 24;

/// Text that no other message has.
std::string make_text(std::uint64_t seed)
{
    std::string text;
    for (int i = 0; i < words_per_message; ++i)
        text += fmt::format("{:x} ", mix(seed, i) >> 40);
    return text;
}

std::string to_body(conversation const& c, turn_options const& options)
{
    nlohmann::json body{{"model", options.model}, {"stream", options.stream}};
    if (options.max_tokens > 0)
        body["max_tokens"] = options.max_tokens;
    for (auto const& message : c.messages)
        body["messages"].push_back(
            {{"role", message.role}, {"content", message.content}});
    return body.dump();
}

} // namespace

chat_turn next_turn(conversation& c, turn_options const& options)
{
    if (c.turn >= options.max_turns)
    {
        ++c.generation;
        c.turn = 0;
        c.last_body_hash = 0;
        c.messages.clear();
    }
    std::uint64_t const seed = mix(mix(c.id, c.generation), c.turn);
    c.messages.push_back({"user", make_text(seed)});
    chat_turn made{.chat_id = fmt::format("chat-{}-{}", c.id, c.generation),
                   .turn = c.turn++,
                   .body = to_body(c, options),
                   .last_body_hash = c.last_body_hash};
    made.body_hash = fingerprint(made.body);
    c.last_body_hash = made.body_hash;
    auto const answer = expect_chat(made.body);
    made.expected = expect_chat_body(made.body);
    c.messages.push_back({"assistant", answer.text});
    return made;
}

} // namespace bramleyarch::load
