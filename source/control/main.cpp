/// `bramleyctl`: the operators' program.
#include "control/subcommand.hpp"

int main(int argc, char** argv)
{
    return bramleyarch::control::run_subcommand(argc, argv);
}
