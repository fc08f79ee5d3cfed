/// Tests of the log service on a pipe.
#include "services/log/log_service.hpp"

#include "kernel/kernel.hpp"
#include "services/telemetry/telemetry.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <unistd.h>

using namespace bramleyarch;
using namespace bramleyarch::services;
using namespace std::chrono_literals;

namespace
{

struct pipe_fixture
{
    std::array<int, 2> ends{};
    kernel::kernel k{kernel::run_mode::stepped};
    kernel::address<log_message> to;

    pipe_fixture()
    {
        BOOST_REQUIRE(::pipe(ends.data()) == 0);
        to = k.add(make_log_service({.descriptor = ends[1],
                                     .router = {"r1"},
                                     .least = log_severity::warning}));
        k.start();
    }

    ~pipe_fixture()
    {
        k.stop();
        ::close(ends[0]);
        ::close(ends[1]);
    }

    void write(std::string fields, log_severity severity = log_severity::error)
    {
        send(to, log_line{severity, "happened", std::move(fields)});
    }

    std::string read()
    {
        k.advance(1s);
        std::string text(1U << 20, '\0');
        auto const got = ::read(ends[0], text.data(), text.size());
        text.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
        return text;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(log_lines, pipe_fixture)

BOOST_AUTO_TEST_CASE(a_line_has_its_event_and_fields)
{
    write("a=1");
    write("b=2", log_severity::info);
    auto const text = read();
    BOOST_TEST(text.ends_with("router=r1 severity=error event=happened a=1\n"));
    BOOST_TEST((text.find("b=2") == std::string::npos));
}

BOOST_AUTO_TEST_CASE(fields_can_not_begin_another_line)
{
    write("key=x\nseverity=info event=forged\r\x01");
    auto const text = read();
    BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 1);
    BOOST_TEST((text.find('\r') == std::string::npos));
}

/// The reader has stopped: nothing waits for it, and what is lost is counted.
BOOST_AUTO_TEST_CASE(a_slow_reader_costs_lines_that_are_counted)
{
    constexpr int lines = 20'000;
    for (int i = 0; i < lines; ++i)
    {
        write(std::string(100, 'x'));
        if (i % 100 == 0)
            k.advance(1s);
    }
    k.run_until_idle();
    std::string all;
    while (all.find("event=last") == std::string::npos)
    {
        all += read();
        send(to, log_line{log_severity::error, "last", ""});
    }
    BOOST_TEST((all.find("dropped_before=") != std::string::npos));
    BOOST_TEST(std::count(all.begin(), all.end(), '\n') < lines);
}

BOOST_AUTO_TEST_CASE(text_of_callers_can_not_pass_for_fields)
{
    BOOST_TEST(field_text("9c41d07b-e2a3_5f.68") == "9c41d07b-e2a3_5f.68");
    BOOST_TEST(field_text("a outcome=answered") == "a?outcome?answered");
    BOOST_TEST(field_text(std::string(16'000, 'a')).size() == 64U);
    BOOST_TEST(field_text("") == "-");
}

BOOST_AUTO_TEST_SUITE_END()
