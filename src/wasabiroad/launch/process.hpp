#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/kernel/error.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wasabiroad::launch {

/** @brief Program to start as a child process, for tests, the demo and benchmarks. */
struct ProcessOptions {
    /** @brief Path of the program. */
    const std::string program;
    const std::vector<std::string> arguments {};
    /** @brief Text for the standard input. */
    const std::string input {};

    friend auto operator<=>(const ProcessOptions&, const ProcessOptions&) = default;
};

/** @brief A child process whose standard output is read by a thread; it is killed when the object goes. */
class Process {
public:
    explicit Process(const ProcessOptions& options);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /**
     * @brief Waits for a line of output that contains a text, seen before or after the call.
     * @return The line, or nothing when the process ended or the time is over.
     */
    std::optional<std::string> waitForLine(const std::string& text, kernel::Duration timeout) const;

    /** @return Address that the process announced for a listener. Errors: PeerUnreachable. */
    kernel::Expected<std::string> address(
        const std::string& listener, kernel::Duration timeout = { 20000 }) const;

    /** @return Number of lines seen so far that contain a text. */
    std::size_t count(const std::string& text) const;

    /** @brief Sends a signal. */
    void signal(int number) const;

    /** @brief Waits for the end of the process. @return Its exit code, or nothing when the time is over. */
    std::optional<int> wait(kernel::Duration timeout);

    /** @return Process id. */
    int id() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

/** @return The value of a key in a line of key=value pairs, or an empty text. */
std::string valueOf(const std::string& line, const std::string& key);

/** @return Folder of the running program, in which the build puts all programs. */
std::string programFolder();

} // namespace wasabiroad::launch
