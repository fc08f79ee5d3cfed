/// What is known of a request that got no complete answer.
#pragma once

#include "common/enum_names.hpp"

namespace bramleyarch
{

enum class outcome
{
    answered, ///< Answered in full; in an error: to an earlier send.
    not_run,  ///< No byte of the request can have left for a backend server.
    unknown,  ///< The request may or may not have run.
    failed,   ///< The request ran, or began to run, and failed.
};

constexpr auto enum_names(outcome)
{
    return std::array{
        enum_name<outcome>{outcome::answered, "answered"},
        enum_name<outcome>{outcome::not_run, "not_run"},
        enum_name<outcome>{outcome::unknown, "unknown"},
        enum_name<outcome>{outcome::failed, "failed"},
    };
}

} // namespace bramleyarch
