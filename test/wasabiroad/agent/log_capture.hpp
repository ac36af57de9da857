#pragma once

#include "wasabiroad/kernel/log.hpp"

#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <spdlog/spdlog.h>

namespace wasabiroad::agent::test {

/** @brief Keeps the log lines of a test. */
class LogCapture {
public:
    LogCapture()
        : previous(spdlog::default_logger())
    {
        kernel::startLogging(this->output);
    }

    ~LogCapture() { restore(); }

    LogCapture(const LogCapture&) = delete;
    LogCapture& operator=(const LogCapture&) = delete;

    /** @brief Ends the capture. @return The lines of an event, in order. */
    std::vector<std::string> linesOf(std::string_view event)
    {
        restore();
        std::vector<std::string> found;
        std::istringstream lines { this->output.str() };
        for (std::string line; std::getline(lines, line);) {
            if (line.find("event=" + std::string { event } + " ") != std::string::npos) {
                found.push_back(line);
            }
        }
        return found;
    }

    /** @return The value of an unquoted field of a line, or "" if it is absent. */
    static std::string fieldOf(const std::string& line, std::string_view key)
    {
        const auto label = " " + std::string { key } + "=";
        const auto found = line.find(label);
        if (found == std::string::npos) {
            return {};
        }
        const auto begin = found + label.size();
        return line.substr(begin, line.find(' ', begin) - begin);
    }

private:
    /** @brief The logger writes all that it holds when it is replaced. */
    void restore()
    {
        if (auto logger = std::exchange(this->previous, nullptr)) {
            spdlog::set_default_logger(std::move(logger));
        }
    }

    std::ostringstream output {};
    std::shared_ptr<spdlog::logger> previous;
};

} // namespace wasabiroad::agent::test
