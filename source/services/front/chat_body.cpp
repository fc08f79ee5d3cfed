#include "services/front/chat_body.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bramleyarch::services
{

namespace
{

using nlohmann::json;

auto make_error(std::string detail)
{
    return fail(error_kind::invalid_request, std::move(detail));
}

/// Returns the role of a message, or an empty string if it has none.
std::string role_of(json const& message)
{
    auto const found = message.find("role");
    return found != message.end() && found->is_string()
               ? found->get<std::string>()
               : std::string{};
}

std::string serialize_first_turn(json const& messages)
{
    std::string first_turn;
    for (auto const& message : messages)
    {
        first_turn +=
            message.dump(-1, ' ', false, json::error_handler_t::replace);
        if (role_of(message) == "user")
            break;
    }
    return first_turn;
}

bool has_valid_messages(json const& body)
{
    auto const found = body.find("messages");
    if (found == body.end() || !found->is_array() || found->empty())
        return false;
    return std::all_of(found->begin(), found->end(),
                       [](json const& message) { return message.is_object(); });
}

/// Reads an optional unsigned integer and leaves `value` unchanged if it is
/// missing or null. Returns false if the member has another type.
bool read_optional_count(json const& body, char const* name,
                         std::uint64_t& value)
{
    auto const found = body.find(name);
    if (found == body.end() || found->is_null())
        return true;
    if (!found->is_number_unsigned())
        return false;
    value = found->get<std::uint64_t>();
    return true;
}

} // namespace

result<chat_body> parse_chat_body(std::string_view text)
{
    auto const body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return make_error("the body is not a JSON object");
    auto const model = body.find("model");
    if (model == body.end() || !model->is_string())
        return make_error("\"model\" is not a string");
    if (!has_valid_messages(body))
        return make_error("\"messages\" is not a non-empty array of objects");
    auto const stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean())
        return make_error("\"stream\" is not a boolean");
    chat_body chat{.model = model->get<std::string>(),
                   .first_turn = serialize_first_turn(body["messages"]),
                   .prompt_bytes = text.size(),
                   .max_tokens = default_max_tokens};
    if (!read_optional_count(body, "max_tokens", chat.max_tokens))
        return make_error("\"max_tokens\" is not an unsigned integer");
    return chat;
}

} // namespace bramleyarch::services
