#pragma once

#include "wasabiroad/kernel/result_code.hpp"

#include <functional>
#include <string>
#include <vector>

namespace wasabiroad::kernel {

/** @brief A subcommand of a program; it registers itself when it is linked in. */
struct Command {
    const std::string name;
    const std::string summary;
    /** @brief One line that works as written. */
    const std::string example;
    /** @brief Runs the command; the result code becomes the exit code. */
    const std::function<ResultCode(int argc, const char* const* argv)> run;
};

/** @brief Commands of the program. */
class Commands {
public:
    /** @return The list that `CommandRegistration` objects fill during static initialisation. */
    static Commands& global();

    void emplace(Command command) { this->commands.emplace_back(std::move(command)); }

    /** @return Commands sorted by name. */
    std::vector<const Command*> each() const;

    /**
     * @brief Runs the command that the first argument names.
     * @param program Name of the program, for its help.
     * @return The exit code of the process, see `exitCode`.
     */
    int run(const std::string& program, int argc, const char* const* argv) const;

private:
    std::vector<Command> commands {};
};

/** @brief Registers a command from a namespace-scope object of its object library. */
struct CommandRegistration {
    explicit CommandRegistration(Command command) { Commands::global().emplace(std::move(command)); }
};

/**
 * @brief Maps a result code to the exit code of a process, which has 8 bits.
 * @return 0 for `Ok`; otherwise 20 exit codes for each group of codes: 1xx from 10, 2xx from 30 and so on.
 */
int exitCode(ResultCode code);

} // namespace wasabiroad::kernel
