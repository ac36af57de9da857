#include "wasabiroad/kernel/command.hpp"
#include "wasabiroad/tool/invocation.hpp"

#include <iostream>

#include <boost/json/serialize.hpp>

namespace wasabiroad::tool {

namespace {

/** The text format is the content of docs/result-codes.md; a test compares the two. */
void printMarkdown()
{
    std::cout << "# Result codes\n\n"
                 "Made by `wasabiroad codes > docs/result-codes.md`. A command exits with the code in the\n"
                 "last column, which fits the 8 bits of an exit status.\n\n"
                 "| code | name | meaning | exit |\n|---|---|---|---|\n";
    for (const auto& row : kernel::resultCodes()) {
        std::cout << "| " << number(row.code) << " | `" << row.name << "` | " << row.meaning << " | "
                  << exitCode(row.code) << " |\n";
    }
}

void printJson()
{
    boost::json::array codes;
    for (const auto& row : kernel::resultCodes()) {
        codes.push_back({ { "code", number(row.code) }, { "name", row.name }, { "meaning", row.meaning },
            { "exit", exitCode(row.code) } });
    }
    std::cout << boost::json::serialize(boost::json::value { { "codes", std::move(codes) } }) << "\n";
}

kernel::ResultCode run(int argc, const char* const* argv)
{
    const Invocation invocation { makeOptions("codes", "Prints the table of result codes."), argc, argv };
    if (invocation.helped()) {
        return kernel::ResultCode::Ok;
    }
    if (invocation.format() == OutputFormat::Json) {
        printJson();
    } else {
        printMarkdown();
    }
    return kernel::ResultCode::Ok;
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "codes",
    .summary = "Prints the table of result codes.",
    .example = "codes --output json",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::tool
