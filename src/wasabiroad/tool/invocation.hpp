#pragma once

#include "wasabiroad/platform/store.hpp"
#include "wasabiroad/tool/output.hpp"

#include <cxxopts.hpp>

namespace wasabiroad::tool {

/** @return Options of a command, with the common ones. */
cxxopts::Options makeOptions(const std::string& command, const std::string& summary);

/** @brief Parsed arguments of a command. */
class Invocation {
public:
    /** @brief Parses the command line; throws a cxxopts exception when it is not valid. */
    Invocation(cxxopts::Options options, int argc, const char* const* argv);

    /** @return Whether the help was asked for and has been printed. */
    bool helped() const { return this->arguments.count("help") != 0; }

    OutputFormat format() const;
    bool has(const std::string& option) const { return this->arguments.count(option) != 0; }
    /** @return Value of an option; throws a cxxopts exception when a required one is absent. */
    std::string text(const std::string& option) const { return this->arguments[option].as<std::string>(); }
    std::vector<std::string> texts(const std::string& option) const
    {
        return this->arguments[option].as<std::vector<std::string>>();
    }
    std::int64_t number(const std::string& option) const
    {
        return this->arguments[option].as<std::int64_t>();
    }

    /** @return The platform that `--platform` names. Errors: ValueOutOfRange. */
    kernel::Expected<platform::Store> platform() const;

    /** @return The file that an option names; `-` is the standard input. Errors: FileUnreadable. */
    kernel::Expected<std::string> file(const std::string& option) const;

private:
    /** @brief Kept because the parse result points to the names of its options. */
    cxxopts::Options options;
    cxxopts::ParseResult arguments;
};

} // namespace wasabiroad::tool
