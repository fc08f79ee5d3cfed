/// Pages of the operators' HTTP server. Used by the admin service only.
#pragma once

#include "services/admin/admin_service.hpp"

namespace bramleyarch::services
{

/// Answers a request, at once or when the asked services have answered.
void open_page(admin_state& state, http::request_received const& request);

/// The text of a page that one service gives.
void take_page(admin_state& state, admin_page const& page);

/// One service's part of the status page.
void take_part(admin_state& state, admin_status_section part);

/// Answers the pages whose services took too long, naming those.
void expire_pages(admin_state& state, time_point at);

/// Answers with plain text or another type.
void show(admin_state& state, http::exchange_id exchange, int status,
          std::string const& content_type, std::string_view body);

} // namespace bramleyarch::services
