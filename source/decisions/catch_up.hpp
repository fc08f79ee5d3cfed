/// Choice between the two ways to catch up with a store: to read each change
/// since a revision, or to read the current state.
///
/// A store that is written often sends every version of a large value to a
/// reader that follows its changes. Over a slow link that takes longer than
/// writing them, so such a reader falls further behind with each of them.
#pragma once

#include <cstdint>

namespace bramleyarch::decisions
{

struct catch_up_options
{
    /// Changes up to this size are always read; they take milliseconds even
    /// over a slow link.
    std::uint64_t min_bytes = 64U << 10;
    /// Multiple of the size of the current state that changes may have. Two
    /// versions of a state that is a single value exceed it.
    double max_state_multiple = 1.5;
};

/// Returns whether the current state should be read instead of the changes.
/// `change_bytes` is the size of the changes, as far as it is known, and
/// `state_bytes` the size of the state when it was last read.
bool should_read_state(std::uint64_t change_bytes, std::uint64_t state_bytes,
                       catch_up_options const& options);

} // namespace bramleyarch::decisions
