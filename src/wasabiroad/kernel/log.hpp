#pragma once

#include <initializer_list>
#include <iosfwd>
#include <string>
#include <string_view>

namespace wasabiroad::kernel {

/** @brief One key=value pair of a log line. */
struct Field {
    Field(std::string_view key, std::string_view value)
        : key(key)
        , value(value)
    {
    }
    Field(std::string_view key, const char* value)
        : key(key)
        , value(value)
    {
    }
    template <typename Number>
    requires std::is_arithmetic_v<Number> Field(std::string_view key, Number value)
        : key(key)
        , value(std::to_string(value))
    {
    }

    const std::string_view key;
    const std::string value;
};

/**
 * @brief Gathers log lines in a bounded buffer from which one writer thread writes them.
 * @param output Where lines are written; it must outlive `stopLogging`.
 */
void startLogging(std::ostream& output);

/** @brief Hands all lines that wait to the writer thread as one batch; does not wait for it. */
void flushLog();

/**
 * @brief Writes the lines that wait and stops the writer thread.
 * @return False if the output did not take them within a second. The writer thread may then wait in the
 * output for ever, as would a flush of it at the exit of the process.
 */
bool stopLogging();

/**
 * @brief Logs one event as one line of key=value pairs.
 * Values with spaces, quotes, equals signs or control characters are quoted and escaped.
 * @param event Name of the event.
 * @param fields Further pairs, in order.
 */
void logEvent(std::string_view event, std::initializer_list<Field> fields = {});

/** @return The line that `logEvent` writes, without the timestamp. */
std::string formatEvent(std::string_view event, std::initializer_list<Field> fields);

} // namespace wasabiroad::kernel
