/// Choice of a server from which another one can copy the shared parts of a
/// prompt.
///
/// A server caches the shared parts of a prompt once it has processed them.
/// When requests overflow, or servers are added or removed, another server
/// needs these parts. Processing them again takes far longer than copying them
/// from the server that received the prompt's requests so far.
#pragma once

#include "decisions/server_choice.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace bramleyarch::decisions
{

/// A server that may have parts of prompts cached, even if it is leaving.
struct copy_source
{
    std::uint64_t hash = 0;       ///< Hash of the server's id.
    std::uint64_t started_ms = 0; ///< Start in Unix ms; 0: unknown.
    bool reachable = true;
};

struct prompt_copy_options
{
    /// Shared prefixes with fewer tokens are not copied. Setting up a copy
    /// takes 5 ms, in which a server processes some 250 tokens at 50 tokens
    /// per ms; the minimum is twice that, to be safe.
    std::uint32_t min_tokens = 512;
};

/// Returns the index of the server, other than `chosen`, that most likely has
/// the prefix cached, or std::nullopt if no copy is likely to exist or worth
/// the set-up. `chosen` is the hash of the server that is sent the request.
///
/// If `chosen` is not the preferred server of the prefix, the source is the
/// preferred one. Otherwise it is the most preferred server that started
/// before `chosen`, since it received the requests until then.
std::optional<std::size_t>
find_copy_source(std::vector<copy_source> const& servers, std::uint64_t chosen,
                 std::optional<shared_prefix> prefix,
                 prompt_copy_options const& options);

} // namespace bramleyarch::decisions
