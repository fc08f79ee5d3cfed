/// From an HTTP request to a request whose team, service and kind are known.
/// Free functions over plain structs; nothing here knows of sockets.
#pragma once

#include "common/error.hpp"
#include "common/request.hpp"
#include "config/model.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bramleyarch::services
{

/// Teams by the SHA-256 digest of their API keys.
using team_index = std::unordered_map<std::string, team_id>;

team_index make_team_index(config::document const& config);

/// A request as its caller sent it.
struct incoming_request
{
    request_id id;
    std::string method;
    std::string target;
    std::vector<header_field> headers; ///< Lower-case names.
    std::shared_ptr<std::string const> body;
    time_point received{};
};

/// Finds team, service, kind, priority, deadline, chat and expected work.
/// Errors are those of the table in docs/HTTP.md.
result<routed_request> match_request(config::document const& config,
                                     team_index const& teams,
                                     incoming_request incoming);

} // namespace bramleyarch::services
