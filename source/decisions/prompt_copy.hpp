/// Where a server that is sent a prompt can copy what it lacks of it.
///
/// A server holds a prompt's shared parts once it has read them. Reading them
/// again elsewhere, because requests spill or servers come and go, takes far
/// longer than copying them from the server where the prompt's requests met.
#pragma once

#include "decisions/server_choice.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace bramleyarch::decisions
{

/// A server that may hold parts of prompts, also one that is leaving.
struct copy_source
{
    std::uint64_t hash = 0;       ///< Of its id.
    std::uint64_t started_ms = 0; ///< Start in Unix ms; 0: unknown.
    bool reachable = true;
};

struct prompt_copy_options
{
    /// Shared tokens from which a copy is worth its set-up: reading fewer takes
    /// about as long (5 ms at some 50 tokens a ms, twice that for certainty).
    std::uint32_t least_tokens = 512;
};

/// Index of the server that most likely holds the prompt and is not `chosen`
/// (a hash): the first of the prompt's order if another one was chosen; if it
/// was chosen itself, the next one that is older, since requests met there
/// before. Nothing when no copy is likely or worth it.
std::optional<std::size_t>
find_copy_source(std::vector<copy_source> const& servers, std::uint64_t chosen,
                 std::optional<shared_prefix> prompt,
                 prompt_copy_options const& options);

} // namespace bramleyarch::decisions
