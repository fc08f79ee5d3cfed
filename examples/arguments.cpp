#include "arguments.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <string>
#include <vector>

namespace examples
{

namespace
{

using bramleyarch::config::draft;
using bramleyarch::config::set_address;

void use_base_port(draft& d, std::uint32_t port)
{
    for (auto const& service : d.doc.services)
    {
        for (auto const& server : service.servers)
            set_address(d, server.id.value,
                        fmt::format("127.0.0.1:{}", port++));
    }
}

void use_address(draft& d, std::string const& argument)
{
    auto const equals = argument.find('=');
    if (equals == std::string::npos)
        d.faults.push_back({"--address", "has no '=': " + argument,
                            "write --address ID=IP:PORT"});
    else
        set_address(d, argument.substr(0, equals), argument.substr(equals + 1));
}

} // namespace

int apply_arguments(draft& d, int argc, char const* const* argv)
{
    cxxopts::Options options{argv[0], "Prints a configuration document."};
    options.add_options()("address", "Another address of a backend server",
                          cxxopts::value<std::vector<std::string>>(),
                          "ID=IP:PORT")(
        "base-port", "Put all backend servers on 127.0.0.1 from this port on",
        cxxopts::value<std::uint32_t>(),
        "N")("version", "Version in force that the change is based on",
             cxxopts::value<bramleyarch::revision>()->default_value("0"),
             "N")("help", "Print this help");
    try
    {
        auto const given = options.parse(argc, argv);
        if (given.count("help"))
        {
            std::puts(options.help().c_str());
            return 0;
        }
        d.doc.version = given["version"].as<bramleyarch::revision>();
        if (given.count("base-port"))
            use_base_port(d, given["base-port"].as<std::uint32_t>());
        if (given.count("address"))
        {
            for (auto const& argument :
                 given["address"].as<std::vector<std::string>>())
                use_address(d, argument);
        }
    }
    catch (cxxopts::exceptions::exception const& e)
    {
        fmt::print(stderr, "{}\n", e.what());
        return 2;
    }
    return -1;
}

} // namespace examples
