#include "wasabiroad/bench/process_usage.hpp"

#include <fstream>
#include <sstream>
#include <string>

#include <unistd.h>

namespace wasabiroad::bench {

namespace {

std::string procFile(int process, const std::string& name)
{
    return "/proc/" + std::to_string(process) + "/" + name;
}

} // namespace

double processorSeconds(int process)
{
    std::ostringstream content;
    content << std::ifstream { procFile(process, "stat") }.rdbuf();
    const auto text = content.str();
    const auto end = text.rfind(')');
    if (end == std::string::npos) {
        return 0;
    }
    // User and system time are fields 14 and 15; field 2, the name in parentheses, may hold spaces.
    std::istringstream fields { text.substr(end + 1) };
    constexpr int skipped = 11;
    std::string ignored;
    for (int field = 0; field < skipped; ++field) {
        fields >> ignored;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double residentMegabytes(int process)
{
    std::ifstream status { procFile(process, "status") };
    const std::string key = "VmRSS:";
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with(key)) {
            constexpr double kilobytesPerMegabyte = 1024;
            return std::stod(line.substr(key.size())) / kilobytesPerMegabyte;
        }
    }
    return 0;
}

} // namespace wasabiroad::bench
