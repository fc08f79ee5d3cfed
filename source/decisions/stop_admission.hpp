/// What an instance that stops does with a request.
///
/// A request is forwarded as its answer arrives only if the stop can't cut it:
/// its own deadline comes first, or it came early enough that callers expect it
/// to be taken. What its answer is expected to take decides only whether it is
/// worth sending: an estimate that is too short costs the caller an error, and
/// never a part of an answer.
#pragma once

#include "common/enum_names.hpp"
#include "common/time.hpp"

#include <array>
#include <optional>

namespace bramleyarch::decisions
{

struct stop_admission_options
{
    /// Requests that are received within this time of the stop are taken even
    /// if they may outlast it. 250 ms below the 3 s of the platform's rule on
    /// lost requests, to allow for a signal that is handled late.
    duration early_limit = std::chrono::milliseconds{2750};
    /// Added to the shortest answer of a route.
    duration margin = std::chrono::milliseconds{100};
    /// A late stream that may run once is sent only if this multiple of what it
    /// is expected to take is left, which is twice the longest recent answer.
    /// Its time varies with the load of its server, and an error would leave
    /// open whether it has run.
    double run_once_stream_factor = 1.6;
};

enum class stop_admission
{
    refuse,  ///< Not sent.
    forward, ///< Sent; the answer is forwarded as it arrives.
    /// Sent; the answer is kept back until it is whole, so that the caller can
    /// still be given an error instead.
    hold,
};

constexpr auto enum_names(stop_admission)
{
    using row = enum_name<stop_admission>;
    return std::array{row{stop_admission::refuse, "refuse"},
                      row{stop_admission::forward, "forward"},
                      row{stop_admission::hold, "hold"}};
}

/// A request that is to be sent during a stop.
struct stop_request
{
    duration since_stop{}; ///< Until it was received; below 0: before the stop.
    duration until_end{};  ///< Until answers have to be given.
    duration until_deadline{};
    bool is_stream = false;
    bool may_repeat = false;
    /// Of the answers of its route; std::nullopt if none has ended lately.
    std::optional<duration> shortest_answer;
    /// Time that its answer is expected to take at most.
    std::optional<duration> expected_answer;
};

stop_admission admit_in_stop(stop_request const& request,
                             stop_admission_options const& options);

} // namespace bramleyarch::decisions
