/// Prints the configuration document of the deployment.
#include "arguments.hpp"
#include "authority.hpp"

int main(int argc, char** argv)
{
    auto draft = examples::authority();
    int const ended = examples::apply_arguments(draft, argc, argv);
    if (ended >= 0)
        return ended;
    return bramleyarch::config::print_canonical(draft);
}
