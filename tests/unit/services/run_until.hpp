/// Runs a kernel on one loop until a condition holds, for tests with sockets.
#pragma once

#include "kernel/kernel.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>

namespace bramleyarch::test
{

/// Fails the test when `done` does not hold within 20 s, which is reached only
/// when something is wrong.
template <class Condition>
void run_until(kernel::kernel& k, Condition done)
{
    auto const limit =
        std::chrono::steady_clock::now() + std::chrono::seconds{20};
    k.run([&] { return done() || std::chrono::steady_clock::now() > limit; });
    BOOST_REQUIRE(done());
}

} // namespace bramleyarch::test
