#include "decisions/stop_admission.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

namespace
{

/// Returns whether not even the shortest recent answer of the route would end.
/// What is expected is less if the request states fewer tokens.
bool is_hopeless(stop_request const& request,
                 stop_admission_options const& options)
{
    if (!request.shortest_answer)
        return false;
    auto const shortest = *request.shortest_answer + options.margin;
    return std::min(shortest, request.expected_answer.value_or(shortest)) >
           request.until_end;
}

} // namespace

stop_admission admit_in_stop(stop_request const& request,
                             stop_admission_options const& options)
{
    if (request.until_deadline <= request.until_end)
        return stop_admission::forward;
    if (request.since_stop <= options.early_limit)
    {
        return is_hopeless(request, options) ? stop_admission::refuse
                                             : stop_admission::forward;
    }
    // Nothing is lost with a request that may be sent again.
    if (!request.expected_answer)
        return request.may_repeat ? stop_admission::hold
                                  : stop_admission::refuse;
    auto const factor = request.is_stream && !request.may_repeat
                            ? options.run_once_stream_factor
                            : 1;
    bool const may_end_in_time =
        *request.expected_answer * factor <= request.until_end;
    return may_end_in_time ? stop_admission::hold : stop_admission::refuse;
}

} // namespace bramleyarch::decisions
