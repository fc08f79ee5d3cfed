/// Child processes of a test, ended when their owner goes away.
#pragma once

#include <boost/process/child.hpp>
#include <boost/process/pipe.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bramleyarch::process_test
{

/// A running program. Its standard error goes to a file.
class child
{
public:
    child(std::string const& program, std::vector<std::string> const& arguments,
          std::string const& error_file);
    /// Both outputs go to files; `read_line` returns nothing.
    child(std::string const& program, std::vector<std::string> const& arguments,
          std::string const& error_file, std::string const& output_file);
    ~child();
    child(child&&) noexcept;
    child& operator=(child&&) noexcept;

    /// Next line of standard output; empty when it has ended.
    std::string read_line();

    /// Sends a signal; nothing happens when the process has ended.
    void signal(int number);

    /// Waits for the end; the exit code, or nothing when it runs on.
    std::optional<int> wait(std::chrono::milliseconds limit);

    [[nodiscard]] bool running();
    [[nodiscard]] int id() const;

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

/// Standard output of a program that ends by itself. Throws when it fails.
std::string output_of(std::string const& program,
                      std::vector<std::string> const& arguments);

} // namespace bramleyarch::process_test
