#include "wasabiroad/kernel/command.hpp"

#include <algorithm>
#include <iostream>
#include <string_view>

namespace wasabiroad::kernel {

namespace {

void printHelp(const std::string& program, const std::vector<const Command*>& commands)
{
    std::cout << "usage: " << program << " COMMAND [OPTIONS]\n\ncommands:\n";
    for (const auto* command : commands) {
        std::cout << "  " << command->name << "\n      " << command->summary << "\n      example: " << program
                  << " " << command->example << "\n";
    }
}

} // namespace

Commands& Commands::global()
{
    static Commands commands;
    return commands;
}

std::vector<const Command*> Commands::each() const
{
    std::vector<const Command*> sorted;
    for (const auto& command : this->commands) {
        sorted.push_back(&command);
    }
    std::ranges::sort(sorted, {}, &Command::name);
    return sorted;
}

int Commands::run(const std::string& program, int argc, const char* const* argv) const
{
    const auto sorted = each();
    const std::string_view requested { argc > 1 ? argv[1] : "help" };
    if (requested == "help" || requested == "--help" || requested == "-h") {
        printHelp(program, sorted);
        return exitCode(ResultCode::Ok);
    }
    const auto found = std::ranges::find(sorted, requested, &Command::name);
    if (found == sorted.end()) {
        std::cerr << program << ": unknown command '" << requested << "'; see '" << program << " help'\n";
        return exitCode(ResultCode::InvalidArguments);
    }
    return exitCode((*found)->run(argc - 1, argv + 1));
}

int exitCode(ResultCode code)
{
    if (code == ResultCode::Ok) {
        return 0;
    }
    // 1xx maps to 11..29, 2xx to 31..49 and so on: 20 exit codes for each group.
    constexpr int codesPerGroup = 20;
    const int group = number(code) / 100;
    const int index = std::min(number(code) % 100, codesPerGroup - 1);
    return (group - 1) * codesPerGroup + 10 + index;
}

} // namespace wasabiroad::kernel
