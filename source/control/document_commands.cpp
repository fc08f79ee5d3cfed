/// The subcommands check, diff, submit and settings.
#include "common/digest.hpp"
#include "config/checks.hpp"
#include "config/diff.hpp"
#include "config/document_json.hpp"
#include "config/reference.hpp"
#include "control/arguments.hpp"
#include "control/commands.hpp"
#include "control/subcommand.hpp"
#include "control/submit_steps.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>

namespace bramleyarch::control
{

namespace
{

int code(exit_code e)
{
    return static_cast<int>(e);
}

/// The text of a file, or of standard input for "-".
std::optional<std::string> read_text(std::string const& path)
{
    if (path == "-")
        return std::string{std::istreambuf_iterator<char>{std::cin}, {}};
    std::ifstream stream{path, std::ios::binary};
    if (!stream)
        return std::nullopt;
    return std::string{std::istreambuf_iterator<char>{stream}, {}};
}

/// Reads and checks a document; prints its faults.
std::optional<config::document> read_document(std::string const& path)
{
    auto const text = read_text(path);
    if (!text)
    {
        fmt::print(stderr,
                   "{} can't be read (remedy: name a file, or - for "
                   "standard input)\n",
                   path);
        return std::nullopt;
    }
    auto parsed = config::parse_document(*text);
    auto faults = std::move(parsed.faults);
    if (faults.empty())
        faults = config::check_relations(parsed.value);
    if (!faults.empty())
    {
        std::fputs(describe(faults).c_str(), stderr);
        return std::nullopt;
    }
    return std::move(parsed.value);
}

std::vector<std::string> files_of(cxxopts::ParseResult const& given)
{
    if (given.count("file") == 0)
        return {};
    return given["file"].as<std::vector<std::string>>();
}

void add_files(cxxopts::Options& options)
{
    options.add_options("hidden")("file", "",
                                  cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"file"});
}

int wrong_files(std::string_view wanted)
{
    fmt::print(stderr, "wrong number of files (remedy: {})\n", wanted);
    return code(exit_code::bad_input);
}

exit_code code_of(error const& e)
{
    switch (e.kind)
    {
    case error_kind::invalid_config:
        return exit_code::bad_input;
    case error_kind::revision_conflict:
        return exit_code::conflict;
    case error_kind::submit_uncertain:
    case error_kind::platform_timeout:
        return exit_code::uncertain;
    default:
        return exit_code::failed;
    }
}

int print_error(error const& e)
{
    fmt::print(stderr, "{}\n", describe(e));
    return code(code_of(e));
}

std::string make_submission_id()
{
    std::random_device random;
    std::string seed;
    for (int i = 0; i < 8; ++i)
        seed += std::to_string(random());
    return sha256_hex(seed).substr(0, 32);
}

int print_changes(config::document const& before, config::document const& after)
{
    auto const changes = config::diff(before, after);
    for (auto const& change : changes)
        std::puts(describe(change).c_str());
    return code(changes.empty() ? exit_code::good : exit_code::failed);
}

} // namespace

int check_document_file(int argc, char const* const* argv)
{
    auto options = make_options("check");
    add_files(options);
    auto const given = options.parse(argc, argv);
    if (print_help(options, given))
        return 0;
    auto const files = files_of(given);
    if (files.size() != 1)
        return wrong_files("bramleyctl check FILE");
    auto const document = read_document(files[0]);
    if (!document)
        return code(exit_code::bad_input);
    fmt::print("good: version {}, digest {}\n", document->version,
               config::digest_of(*document));
    return code(exit_code::good);
}

int diff_documents(int argc, char const* const* argv)
{
    auto options = make_options("diff");
    add_platform_options(options);
    add_files(options);
    auto const given = options.parse(argc, argv);
    if (print_help(options, given))
        return 0;
    auto const files = files_of(given);
    if (files.empty() || files.size() > 2)
        return wrong_files("bramleyctl diff OLD NEW, or diff NEW --endpoint "
                           "IP:PORT");
    auto const after = read_document(files.back());
    if (!after)
        return code(exit_code::bad_input);
    if (files.size() == 2)
    {
        auto const before = read_document(files[0]);
        return before ? print_changes(*before, *after)
                      : code(exit_code::bad_input);
    }
    auto const platform = platform_of(given);
    if (!platform)
        return code(exit_code::bad_input);
    auto const stored = read_stored({.platform = *platform,
                                     .key = given["key"].as<std::string>(),
                                     .timeout = timeout_of(given)});
    if (!stored)
        return print_error(stored.error());
    return print_changes(stored.value().value, *after);
}

int submit_document(int argc, char const* const* argv)
{
    auto options = make_options("submit");
    add_platform_options(options);
    options.add_options()(
        "based-on", "Version that the change is based on, if not the file's",
        cxxopts::value<revision>(), "N");
    add_files(options);
    auto const given = options.parse(argc, argv);
    if (print_help(options, given))
        return 0;
    auto const files = files_of(given);
    if (files.size() != 1)
        return wrong_files("bramleyctl submit FILE");
    auto document = read_document(files[0]);
    auto const platform = platform_of(given);
    if (!document || !platform)
        return code(exit_code::bad_input);
    if (given.count("based-on"))
        document->version = given["based-on"].as<revision>();
    auto const stored = run_submit({.platform = *platform,
                                    .key = given["key"].as<std::string>(),
                                    .timeout = timeout_of(given)},
                                   std::move(*document), make_submission_id());
    if (!stored)
        return print_error(stored.error());
    fmt::print("stored: version {}\n", stored.value());
    return code(exit_code::good);
}

int print_reference(int argc, char const* const* argv)
{
    auto options = make_options("settings");
    options.add_options()("document",
                          "Print the reference of the document instead");
    auto const given = options.parse(argc, argv);
    if (print_help(options, given))
        return 0;
    std::fputs((given.count("document") ? config::document_reference()
                                        : config::settings_reference())
                   .c_str(),
               stdout);
    return code(exit_code::good);
}

} // namespace bramleyarch::control
