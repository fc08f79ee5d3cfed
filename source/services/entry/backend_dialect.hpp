/// What a router sends to a backend server with a request and learns from the
/// head of its answer, independent of how both are encoded.
#pragma once

#include "common/request.hpp"
#include "config/deployment.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace bramleyarch::services
{

/// Classification of an answer by its head.
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

/// Load that a backend server reports in the head of an answer.
struct reported_load
{
    std::uint32_t running = 0; ///< Requests in progress.
    std::uint32_t waiting = 0; ///< Requests in the server's queue.
    std::uint32_t slots = 0;   ///< Requests that the server runs at once.
    /// Time that work takes on the server's machine at present, in percent of
    /// the usual time. std::nullopt: not stated.
    std::optional<std::uint32_t> pace_percent;
};

/// Why a report of a server's load is malformed.
enum class load_report_fault
{
    missing_figure,   ///< Fewer than three figures, or an empty one.
    not_a_number,     ///< A figure is not an unsigned decimal number.
    too_many_figures, ///< More than four figures.
    out_of_range,     ///< A figure is beyond what a server can have.
};

constexpr auto enum_names(load_report_fault)
{
    using f = load_report_fault;
    using row = enum_name<load_report_fault>;
    return std::array{row{f::missing_figure, "missing_figure"},
                      row{f::not_a_number, "not_a_number"},
                      row{f::too_many_figures, "too_many_figures"},
                      row{f::out_of_range, "out_of_range"}};
}

/// Result of parsing the head of an answer.
struct parsed_head
{
    answer_kind kind = answer_kind::genuine;
    std::optional<reported_load> load; ///< std::nullopt: no valid report.
    /// Set if there is a report and it is malformed.
    std::optional<load_report_fault> load_fault;
    bool leaving = false; ///< The server announces that it is leaving.
    /// Time for which the server wants no further request from this router.
    duration wanted_pause{};
    /// Requests per second that the server takes from all routers together.
    std::optional<double> request_limit;
    /// The server states a limit that is not a number.
    bool has_malformed_limit = false;
};

/// Parameters of a single attempt, sent along with the request.
struct attempt_parameters
{
    duration time_left{}; ///< Time within which the server must answer.
    /// Id of the last stream event that was forwarded to the caller; the server
    /// continues after it. std::nullopt: the stream starts at the beginning.
    std::optional<std::uint64_t> resume_after;
    /// Server from which the missing parts of the prompt's KV cache can be
    /// copied.
    std::optional<endpoint> copy_from;
    /// Order among the requests that wait at the server, from 0, first, to
    /// `decisions::last_server_priority`. std::nullopt: not stated.
    std::optional<std::uint32_t> priority;
};

/// Functions that encode attempts for, and decode answers of, the backend
/// servers of one platform.
struct backend_dialect
{
    /// Returns the headers of an attempt of `request` at `server`.
    std::vector<header_field> (*make_attempt_headers)(
        routed_request const& request, config::listed_server const& server,
        attempt_parameters const& parameters) = nullptr;
    /// Classifies an answer to `request` by its status and headers.
    parsed_head (*parse_head)(routed_request const& request, int status,
                              std::vector<header_field> const& headers) =
        nullptr;
};

} // namespace bramleyarch::services
