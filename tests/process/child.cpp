#include "child.hpp"

#include <boost/process/args.hpp>
#include <boost/process/exe.hpp>
#include <boost/process/io.hpp>

#include <csignal>
#include <istream>
#include <iterator>
#include <stdexcept>
#include <system_error>
#include <thread>

namespace bramleyarch::process_test
{

namespace
{

namespace bp = boost::process;

constexpr std::chrono::milliseconds poll_interval{10};

} // namespace

struct child::parts
{
    bp::ipstream output;
    bp::child process;
    bool reaped = false;
};

child::child(std::string const& program,
             std::vector<std::string> const& arguments,
             std::string const& error_file)
    : parts_(std::make_unique<parts>())
{
    parts_->process =
        bp::child{bp::exe = program, bp::args = arguments,
                  bp::std_out > parts_->output, bp::std_err > error_file};
}

child::child(std::string const& program,
             std::vector<std::string> const& arguments,
             std::string const& error_file, std::string const& output_file)
    : parts_(std::make_unique<parts>())
{
    parts_->process =
        bp::child{bp::exe = program, bp::args = arguments,
                  bp::std_out > output_file, bp::std_err > error_file};
}

child::~child()
{
    if (!parts_ || !running())
        return;
    signal(SIGCONT);
    signal(SIGKILL);
    std::error_code ignored;
    parts_->process.wait(ignored);
}

child::child(child&&) noexcept = default;
child& child::operator=(child&& other) noexcept
{
    std::swap(parts_, other.parts_);
    return *this;
}

std::string child::read_line()
{
    std::string line;
    std::getline(parts_->output, line);
    return line;
}

void child::signal(int number)
{
    if (running())
        ::kill(parts_->process.id(), number);
}

std::optional<int> child::wait(std::chrono::milliseconds limit)
{
    auto const end = std::chrono::steady_clock::now() + limit;
    while (running())
    {
        if (std::chrono::steady_clock::now() >= end)
            return std::nullopt;
        std::this_thread::sleep_for(poll_interval);
    }
    return parts_->process.exit_code();
}

bool child::running()
{
    std::error_code ignored;
    return parts_->process.running(ignored);
}

int child::id() const
{
    return parts_->process.id();
}

std::string output_of(std::string const& program,
                      std::vector<std::string> const& arguments)
{
    bp::ipstream output;
    bp::child process{bp::exe = program, bp::args = arguments,
                      bp::std_out > output};
    std::string text{std::istreambuf_iterator<char>{output}, {}};
    process.wait();
    if (process.exit_code() != 0)
        throw std::runtime_error{program + " failed"};
    return text;
}

} // namespace bramleyarch::process_test
