#include "services/front/problem.hpp"

#include "common/request_id_text.hpp"

#include <chrono>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bramleyarch::services
{

int status_of(problem_details const& problem)
{
    return traits_of(problem.cause.kind).http_status;
}

std::string problem_json(problem_details const& problem)
{
    auto const kind = to_name(problem.cause.kind);
    std::string title{kind};
    for (auto& character : title)
        character = character == '_' ? ' ' : character;
    nlohmann::ordered_json members{
        {"type", fmt::format("urn:bramleyarch:error:{}", kind)},
        {"title", title},
        {"status", status_of(problem)},
        {"detail", problem.cause.detail},
        {"outcome", to_name(problem.known_outcome)},
        {"remedy", traits_of(problem.cause.kind).remedy},
        {"request_id", to_text(problem.request)}};
    if (problem.retry_after > duration::zero())
        members["retry_after_ms"] = to_ms(problem.retry_after);
    return members.dump(-1, ' ', false,
                        nlohmann::json::error_handler_t::replace);
}

std::vector<header_field> problem_headers(problem_details const& problem)
{
    std::vector<header_field> headers{
        {"content-type", "application/problem+json"},
        {"x-request-id", to_text(problem.request)}};
    if (problem.retry_after > duration::zero())
    {
        auto const seconds =
            std::chrono::ceil<std::chrono::seconds>(problem.retry_after);
        headers.push_back({"retry-after", std::to_string(seconds.count())});
    }
    return headers;
}

} // namespace bramleyarch::services
