/// HTTP calls of the operators' program: several at once, each with its
/// answer or error.
#pragma once

#include "common/error.hpp"
#include "common/ids.hpp"
#include "common/time.hpp"

#include <string>
#include <vector>

namespace bramleyarch::control
{

struct http_call
{
    endpoint to;
    std::string method = "GET";
    std::string target;
    std::string body;
};

struct http_answer
{
    int status = 0;
    std::string body;
};

/// Makes the calls and waits for all, at most `limit`. Errors:
/// `platform_unavailable` when no byte can have left, `platform_timeout` when
/// the call may have taken effect.
std::vector<result<http_answer>> run_calls(std::vector<http_call> const& calls,
                                           duration limit);

} // namespace bramleyarch::control
