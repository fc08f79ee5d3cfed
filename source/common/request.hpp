/// A caller's request and the parts of its answer, as routing sees them.
///
/// These types are the seam between a front end and the fleet: they know
/// nothing of HTTP framing, sockets or the encoding between routers.
#pragma once

#include "common/enum_names.hpp"
#include "common/error.hpp"
#include "common/idempotency_key.hpp"
#include "common/ids.hpp"
#include "common/outcome.hpp"
#include "common/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bramleyarch
{

enum class request_kind : std::uint8_t
{
    idempotent,     ///< May run more than once.
    non_idempotent, ///< Must run at most once.
};

constexpr auto enum_names(request_kind)
{
    return std::array{
        enum_name<request_kind>{request_kind::idempotent, "idempotent"},
        enum_name<request_kind>{request_kind::non_idempotent, "non_idempotent"},
    };
}

enum class request_priority : std::uint8_t
{
    interactive,
    standard,
    batch,
};

constexpr auto enum_names(request_priority)
{
    return std::array{
        enum_name<request_priority>{request_priority::interactive,
                                    "interactive"},
        enum_name<request_priority>{request_priority::standard, "standard"},
        enum_name<request_priority>{request_priority::batch, "batch"},
    };
}

/// A header that is passed on to or from the backend server.
struct header_field
{
    std::string name; ///< Lower case.
    std::string value;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(name, value);
    }
};

/// Value of the first header called `name` (lower case); empty when absent.
std::string_view find_header(std::vector<header_field> const& headers,
                             std::string_view name);

/// A run of prompt tokens that requests may share.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// What a route and a caller ask for beyond the kind, where routers admit
/// requests themselves.
struct request_terms
{
    std::string caller_id; ///< The caller's own id of the request.
    std::string route;
    std::uint32_t max_attempts = 1; ///< Servers that the request may reach.
    bool streaming = false;
    bool resumable = false;
    duration latency_target{};       ///< For the first byte.
    duration gap_target{};           ///< Streams: between events.
    std::uint32_t rank = 0;          ///< 0 is the most urgent.
    std::vector<prompt_part> prompt; ///< In order; the last is its own.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answer_tokens = 0; ///< At most.
    /// As the caller expects; at most `answer_tokens` if that is not zero.
    std::uint32_t expected_answer_tokens = 0;
    time_point received{};
};

/// A request whose team and service are known.
struct routed_request
{
    request_id id;
    team_id team;
    service_id service;
    std::string model; ///< Empty for a plain service.
    request_kind kind = request_kind::idempotent;
    request_priority priority = request_priority::standard;
    std::uint64_t chat = 0; ///< Hash that returning requests share.
    std::optional<idempotency_key> key;
    time_point deadline{};
    std::string method;
    std::string target; ///< Path and query for the backend server.
    std::vector<header_field> headers;
    std::shared_ptr<std::string const> body;
    std::uint32_t work = 1;             ///< Expected tokens, prompt + answer.
    std::uint64_t body_fingerprint = 0; ///< `fingerprint(body)`.
    std::uint64_t resume_offset = 0;    ///< Bytes of the answer already sent.
    request_terms terms;                ///< Stays with the entry router.
};

/// First part of an answer.
struct answer_head
{
    attempt_id attempt;
    int status = 0;
    std::vector<header_field> headers;
    server_id server;
};

/// A run of body bytes. Sequence numbers start at 0 and have no gaps.
struct answer_chunk
{
    attempt_id attempt;
    std::uint64_t sequence = 0;
    std::string bytes;
};

/// Proves that the answer is complete.
struct answer_end
{
    attempt_id attempt;
    std::uint64_t chunks = 0; ///< Number of `answer_chunk`s sent.
    std::uint64_t bytes = 0;  ///< Total of their sizes.
};

/// Ends a request without a complete answer.
struct answer_error
{
    attempt_id attempt;
    error cause;
    outcome known = outcome::unknown; ///< Never `answered`.
    duration retry_after{};           ///< Zero: no hint.
};

/// What a front end receives for a request, in this order: an error, or one
/// head, any number of chunks, then an end or an error.
using answer_message =
    std::variant<answer_head, answer_chunk, answer_end, answer_error>;

} // namespace bramleyarch
