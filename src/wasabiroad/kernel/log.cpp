#include "wasabiroad/kernel/log.hpp"

#include <algorithm>
#include <atomic>
#include <iostream>

#include <spdlog/async.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

namespace wasabiroad::kernel {

namespace {

/** Lines over this bound replace the oldest queued line, so that no traffic thread waits for output. */
constexpr std::size_t queuedLines = 8192;

/** Whether a line was logged since the last flush. */
std::atomic<bool> unwritten { false };

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::ranges::any_of(value, [](unsigned char character) {
        return character <= ' ' || character == '"' || character == '=' || character == '\\'
            || character == 0x7f;
    });
}

void appendEscaped(std::string& line, unsigned char character)
{
    if (character < ' ' || character == 0x7f) {
        line += fmt::format("\\x{:02x}", character);
        return;
    }
    if (character == '"' || character == '\\') {
        line += '\\';
    }
    line += static_cast<char>(character);
}

void appendValue(std::string& line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const auto character : value) {
        appendEscaped(line, static_cast<unsigned char>(character));
    }
    line += '"';
}

} // namespace

void startLogging()
{
    spdlog::init_thread_pool(queuedLines, 1);
    // The standard output sink of spdlog makes a system call for each line; this one writes when it is
    // flushed.
    auto sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(std::cout);
    auto logger = std::make_shared<spdlog::async_logger>(
        "wasabiroad", std::move(sink), spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ %v", spdlog::pattern_time_type::utc);
    spdlog::set_default_logger(std::move(logger));
    spdlog::flush_every(std::chrono::seconds { 1 });
}

void flushLog()
{
    if (unwritten.exchange(false, std::memory_order_relaxed)) {
        spdlog::default_logger_raw()->flush();
    }
}

void stopLogging()
{
    spdlog::shutdown();
    std::cout.flush();
}

std::string formatEvent(std::string_view event, std::initializer_list<Field> fields)
{
    std::string line { "event=" };
    appendValue(line, event);
    for (const auto& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    return line;
}

void logEvent(std::string_view event, std::initializer_list<Field> fields)
{
    if (auto* const logger = spdlog::default_logger_raw()) {
        logger->info(formatEvent(event, fields));
        unwritten.store(true, std::memory_order_relaxed);
    }
}

} // namespace wasabiroad::kernel
