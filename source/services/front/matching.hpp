/// Determines the team, service and kind of an HTTP request. Consists of free
/// functions over plain structs and does not depend on sockets.
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

/// Maps the SHA-256 digest of each API key to its team.
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

/// Determines the team, service, kind, priority, deadline, chat hash and
/// expected work of a request. Fails with the errors that the table in
/// docs/HTTP.md lists.
result<routed_request> match_request(config::document const& config,
                                     team_index const& teams,
                                     incoming_request incoming);

} // namespace bramleyarch::services
