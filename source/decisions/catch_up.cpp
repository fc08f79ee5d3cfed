#include "decisions/catch_up.hpp"

namespace bramleyarch::decisions
{

bool should_read_state(std::uint64_t change_bytes, std::uint64_t state_bytes,
                       catch_up_options const& options)
{
    return change_bytes > options.min_bytes &&
           static_cast<double>(change_bytes) >
               options.max_state_multiple * static_cast<double>(state_bytes);
}

} // namespace bramleyarch::decisions
