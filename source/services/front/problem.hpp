/// Errors as problem details (RFC 9457).
#pragma once

#include "common/request.hpp"

#include <string>

namespace bramleyarch::services
{

/// The details that a caller receives about a failed request.
struct problem_details
{
    error cause;
    outcome known_outcome = outcome::not_run;
    duration retry_after{}; ///< Zero: the response has no retry hint.
    request_id request;
};

/// HTTP status of the problem.
int status_of(problem_details const& problem);

/// The JSON object with the members type, title, status, detail, outcome,
/// remedy and request_id, and retry_after_ms if `retry_after` is positive.
std::string problem_json(problem_details const& problem);

/// Headers of a response with problem details. They include `Retry-After`, in
/// whole seconds rounded up, if `retry_after` is positive.
std::vector<header_field> problem_headers(problem_details const& problem);

} // namespace bramleyarch::services
