#include "wasabiroad/kernel/log.hpp"

#include "wasabiroad/kernel/line_buffer.hpp"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <ostream>

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

namespace wasabiroad::kernel {

namespace {

/** Lines over this bound replace the oldest line that waits, so that no traffic thread waits for output. */
constexpr std::size_t queuedLines = 8192;

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

/**
 * @brief Gathers lines and hands them to its writer thread in batches when it is flushed.
 * One batch is written at a time; lines that come meanwhile wait within the bound.
 */
class BatchSink final : public spdlog::sinks::base_sink<std::mutex> {
public:
    explicit BatchSink(std::ostream& stream)
        : output(stream)
    {
    }

    ~BatchSink() override
    {
        this->writer.join();
        write(takeBatch());
    }

    BatchSink(const BatchSink&) = delete;
    BatchSink& operator=(const BatchSink&) = delete;

protected:
    void sink_it_(const spdlog::details::log_msg& message) override { this->lines.push(format(message)); }

    void flush_() override
    {
        if (this->lines.empty() || this->writing.exchange(true)) {
            return;
        }
        boost::asio::post(this->writer, [this, batch = takeBatch()] {
            write(batch);
            this->writing = false;
        });
    }

private:
    std::string format(const spdlog::details::log_msg& message)
    {
        spdlog::memory_buf_t line;
        this->formatter_->format(message, line);
        return fmt::to_string(line);
    }

    std::string takeBatch()
    {
        const auto batch = this->lines.take();
        if (batch.dropped == 0) {
            return batch.text;
        }
        const auto event = formatEvent("log-lines-dropped", { { "lines", batch.dropped } });
        return format({ "wasabiroad", spdlog::level::info, event }) + batch.text;
    }

    void write(const std::string& text)
    {
        this->output << text;
        this->output.flush();
    }

    std::ostream& output;
    LineBuffer lines { queuedLines };
    std::atomic<bool> writing { false };
    boost::asio::thread_pool writer { 1 };
};

} // namespace

void startLogging(std::ostream& output)
{
    auto logger = std::make_shared<spdlog::logger>("wasabiroad", std::make_shared<BatchSink>(output));
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ %v", spdlog::pattern_time_type::utc);
    spdlog::set_default_logger(std::move(logger));
}

void flushLog() { spdlog::default_logger_raw()->flush(); }

void stopLogging() { spdlog::shutdown(); }

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
    }
}

} // namespace wasabiroad::kernel
