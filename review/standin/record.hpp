#pragma once

#include "http.hpp"

#include <fstream>
#include <mutex>

namespace review {

/** @brief Writes what was sent, answered and run, with the time since the start in ms. */
class Record {
public:
    explicit Record(const std::string& path)
        : file(path)
    {
    }

    std::int64_t now() const
    {
        return std::chrono::duration_cast<milliseconds>(Clock::now() - this->start).count();
    }

    std::int64_t add(const std::string& line)
    {
        const std::lock_guard lock { this->mutex };
        const auto at = now();
        this->file << at << " ms: " << line << std::endl;
        return at;
    }

private:
    const Clock::time_point start { Clock::now() };
    std::mutex mutex {};
    std::ofstream file;
};

} // namespace review
