/// Decides what a process does as the memory that it holds for callers fills
/// up: it stops reading first, then rejects new requests, then closes the
/// connections that hold most and have made no progress for longest.
#pragma once

#include "common/time.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace bramleyarch::decisions
{

/// Memory that a process may use as different sources state it, in bytes; 0:
/// not stated.
struct memory_sources
{
    std::size_t setting = 0;
    std::size_t machine = 0;
    std::size_t address_space = 0; ///< RLIMIT_AS.
};

struct memory_budget
{
    std::size_t total = SIZE_MAX;       ///< Bytes held for all callers.
    std::size_t per_address = SIZE_MAX; ///< Bytes held for one address.
    /// Answer bytes that a caller may leave unread before its server is not
    /// read any more.
    std::uint32_t answer_credit = 256U << 10;
};

/// Returns the budget of a process that accepts `max_connections`.
memory_budget derive_memory_budget(memory_sources const& sources,
                                   std::size_t max_connections);

enum class memory_level : std::uint8_t
{
    calm,
    short_of_memory, ///< Larger unfinished requests are not read.
    exhausted,       ///< Nor are small ones, and new requests are rejected.
};

/// Returns the level for a caller whose address holds `by_address` bytes of
/// the `held` bytes.
memory_level level_of(memory_budget const& budget, std::size_t held,
                      std::size_t by_address);

/// Returns what may be held for an unfinished request that is still read while
/// memory is short, with so many connections.
std::size_t small_request_bytes(memory_budget const& budget,
                                std::size_t connections);

/// Returns how many bytes are left for paused requests that are read again.
std::size_t room_of(memory_budget const& budget, std::size_t held);

/// A connection that waits for its caller to send or to read.
struct waiting_caller
{
    std::uint64_t id = 0;
    std::size_t held = 0; ///< Bytes.
    duration stalled{};   ///< Since it last made progress.
};

/// Returns the callers to close so that `wanted` bytes are freed, those that
/// held most for longest without progress first. None is among them that made
/// progress within `stalled_after`.
std::vector<std::uint64_t> choose_stalled(std::vector<waiting_caller> waiting,
                                          std::size_t wanted,
                                          duration stalled_after);

/// Returns how many paused callers may be read again, in their order.
/// `needs`: bytes that each may need until its request is whole.
/// `reserved`: bytes that those which may go on already may need.
/// `is_stuck`: no other request is in flight whose end would free memory; then
/// one may always go on.
std::size_t count_resumable(std::span<std::size_t const> needs,
                            std::size_t room, std::size_t reserved,
                            bool is_stuck);

} // namespace bramleyarch::decisions
