#pragma once

#include <fstream>
#include <sstream>
#include <string>

namespace wasabiroad::test {

/** @return Text of an example file of the repository. */
inline std::string example(const std::string& name)
{
    std::ostringstream text;
    text << std::ifstream { std::string { EXAMPLES_DIR } + "/" + name }.rdbuf();
    return text.str();
}

/** @return The text with the first occurrence of `found` replaced. */
inline std::string replaced(std::string text, const std::string& found, const std::string& replacement)
{
    const auto position = text.find(found);
    return position == std::string::npos ? std::string {} : text.replace(position, found.size(), replacement);
}

} // namespace wasabiroad::test
