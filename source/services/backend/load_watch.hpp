/// Reads the load reports of watched servers. Each server has a request and a
/// timeout of its own, so that a server that hangs does not delay the reports
/// of others. Internal to the backend service.
#pragma once

#include "services/backend/backend_service.hpp"

namespace bramleyarch::services
{

/// Requests the load reports that are due and abandons those that exceed
/// `report_timeout`.
void poll_load_reports(backend_state& state, time_point at);

/// Handles an event of the HTTP client. Returns false if the event does not
/// belong to a load report.
bool handle_report_event(backend_state& state, http::client_event const& event);

/// Stops reading the load reports of `server` and closes the request in flight.
/// Does nothing if the server is not watched.
void stop_watching(backend_state& state, server_id const& server);

} // namespace bramleyarch::services
