#include "wasabiroad/kernel/command.hpp"

#include <iostream>

#include <cxxopts.hpp>

int main(int argc, char** argv)
{
    using namespace wasabiroad;
    try {
        return kernel::Commands::global().run("wasabiroad-bench", argc, argv);
    } catch (const cxxopts::exceptions::exception& exception) {
        std::cerr << "wasabiroad-bench: " << exception.what() << "\n";
        return kernel::exitCode(kernel::ResultCode::InvalidArguments);
    }
}
