/// The load subcommand as a program of its own.
#include "control/load/command.hpp"

int main(int argc, char** argv)
{
    return bramleyarch::load::run_command(argc, argv);
}
