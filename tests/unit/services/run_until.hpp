/// Runs a kernel on one loop until a condition holds, for tests with sockets.
#pragma once

#include "kernel/kernel.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>

namespace bramleyarch::test
{

/// Runs the kernel until `done` returns true. Fails the test after 20 s, which
/// only a failing test reaches.
template <class Condition>
void run_until(kernel::kernel& service_kernel, Condition done)
{
    auto const limit =
        std::chrono::steady_clock::now() + std::chrono::seconds{20};
    service_kernel.run(
        [&] { return done() || std::chrono::steady_clock::now() > limit; });
    BOOST_REQUIRE(done());
}

} // namespace bramleyarch::test
