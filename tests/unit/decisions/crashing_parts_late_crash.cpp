/// Test of a part of prompts that crashes servers late in its answers. Apart
/// from the other tests, since it fails: see KNOWN-RED.txt.
#include "crashing_streams_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::test;

// Guards against a part that counts as sound before its answers are whole, and
// crashes servers in the middle or in the last event of these.
BOOST_AUTO_TEST_CASE(part_that_crashes_servers_late_in_streams_is_stopped)
{
    for (std::size_t const size : {8, 80, 300})
    {
        for (duration const after : {1500ms, 2500ms})
        {
            auto const deadly_share = share_of_requests(1, size);
            stream_fleet fleet{size};
            fleet.run(3s);
            fleet.deadly_after = after;
            fleet.run(25s, deadly_share);
            check_refusals(fleet,
                           std::to_string(to_ms(after)) + " ms after bytes");
        }
    }
}
