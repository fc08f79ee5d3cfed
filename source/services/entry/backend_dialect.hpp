/// What backend servers are told with a request and say with an answer, apart
/// from its spelling.
#pragma once

#include "common/request.hpp"
#include "config/deployment.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace bramleyarch::services
{

/// Whose answer it is and what it says of the request.
enum class answer_kind
{
    genuine,      ///< The server's own answer to this request.
    not_executed, ///< The server did not and will not run the request.
    misdirected,  ///< Another server has the address; nothing was run.
    foreign,      ///< Of another request, or without the server's signature.
};

constexpr auto enum_names(answer_kind)
{
    using a = answer_kind;
    using row = enum_name<answer_kind>;
    return std::array{
        row{a::genuine, "genuine"}, row{a::not_executed, "not_executed"},
        row{a::misdirected, "misdirected"}, row{a::foreign, "foreign"}};
}

/// Load that a server states with an answer.
struct reported_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

struct parsed_head
{
    answer_kind kind = answer_kind::genuine;
    std::optional<reported_load> load;
};

/// What one attempt says beside the request itself.
struct attempt_parameters
{
    duration time_left{}; ///< Time that the server has.
    /// Last event that the caller was sent.
    std::optional<std::uint64_t> resume_after;
    /// Server from which what is lacking of the prompt can be copied.
    std::optional<endpoint> copy_from;
};

struct backend_dialect
{
    std::vector<header_field> (*make_attempt_headers)(
        routed_request const& request, config::listed_server const& server,
        attempt_parameters const& terms) = nullptr;
    parsed_head (*parse_head)(routed_request const& request, int status,
                              std::vector<header_field> const& headers) =
        nullptr;
};

} // namespace bramleyarch::services
