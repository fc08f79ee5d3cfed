/// Account of the memory that the HTTP server holds for its callers, and what
/// it does when that is short. Used by the server's own files only. Decisions:
/// `decisions/memory_budget.hpp`.
#pragma once

#include "http/server_io.hpp"

namespace bramleyarch::http
{

/// Counts what is held for a connection now: capacity, not size.
void update_account(server& s, caller_connection& c);

/// The connection is about to be forgotten.
void release_account(server& s, caller_connection& c);

/// The head of a request is whole; it is held until its answer is sent.
void count_head(caller_connection& c, message_head const& head);

/// Adds bytes to the body that is being received.
void append_body(server& s, caller_connection& c, std::string_view bytes);

/// The caller sent or took bytes.
void note_progress(server const& s, caller_connection& c, std::size_t bytes);

/// From now on it is the caller who has to make progress.
void note_wait(caller_connection& c);

/// Returns whether memory is short for large requests.
bool is_short(server const& s, caller_connection const& c);

/// Returns whether memory is short for any new request.
bool is_exhausted(server const& s, caller_connection const& c);

/// Refuses an unfinished request, which has not run.
void refuse_for_memory(server& s, caller_connection& c);

/// Stops reading an unfinished request if memory is short.
void pause_if_short(server& s, caller_connection& c);

/// Closes the connection that has waited longest for a request or for the rest
/// of its head, so that another one can be accepted. Returns whether there was
/// one.
bool close_idlest(server& s);

} // namespace bramleyarch::http
