#include "wasabiroad/kernel/command.hpp"

int main(int argc, char** argv)
{
    return wasabiroad::kernel::Commands::global().run("wasabiroad-standin", argc, argv);
}
