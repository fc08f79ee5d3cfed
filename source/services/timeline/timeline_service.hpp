/// Time line service: a bounded ring of the process's events.
#pragma once

#include "common/hybrid_clock.hpp"
#include "kernel/service.hpp"
#include "services/messages/timeline.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace bramleyarch::services
{

struct timeline_options
{
    router_id router;
    domain_id domain;
    std::size_t max_events = 8192; ///< The oldest are dropped beyond it.
};

struct timeline_state
{
    timeline_options options;
    hybrid_clock clock;
    std::deque<event> ring;
    std::uint64_t dropped = 0;
    kernel::address<metrics_message> metrics;
};

kernel::service<timeline_state, timeline_message>
make_timeline_service(timeline_options options);

} // namespace bramleyarch::services
