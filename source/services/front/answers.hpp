/// Forwards answers of the routing service to callers. Used by the front end
/// only.
#pragma once

#include "services/front/front_service.hpp"
#include "services/front/problem.hpp"

namespace bramleyarch::services
{

/// Forwards one part of an answer to its caller. Duplicate parts and parts of
/// another attempt are dropped. A gap in the parts aborts the answer.
void forward_answer(front_state& state, answer_message message);

/// Answers an exchange with problem details.
void refuse(front_state& state, http::exchange_id exchange,
            problem_details const& problem);

/// Counts answer bytes that a caller has consumed. They are reported to the
/// routing service once enough of them have accumulated.
void record_consumed_bytes(front_state& state,
                           http::bytes_taken const& consumed);

/// Cancels and removes the request of a caller that has disconnected.
void cancel_abandoned_request(front_state& state, http::exchange_id exchange);

} // namespace bramleyarch::services
