#include "wasabiroad/kernel/log.hpp"

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/kernel/line_buffer.hpp"

#include <algorithm>
#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <ostream>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
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

/** Time for the last lines to be written, in ms. */
constexpr Duration stopLimit { 1000 };

/** @brief Writes batches on a thread of its own, one at a time; it outlives a write that never returns. */
class Writer : public std::enable_shared_from_this<Writer> {
public:
    explicit Writer(std::ostream& stream)
        : output(stream)
    {
    }

    void start()
    {
        this->thread = std::thread { [self = shared_from_this()] { self->context.run(); } };
    }

    /** @return Whether no batch is being written; the caller then has to write one. */
    bool claim() { return !this->writing.exchange(true); }

    void write(std::string batch)
    {
        boost::asio::post(this->context, [self = shared_from_this(), batch = std::move(batch)] {
            self->output << batch;
            self->output.flush();
            self->writing = false;
        });
    }

    /** @return Whether all batches were written within the limit; otherwise the thread is left alone. */
    bool stop(Duration limit)
    {
        const auto last = std::make_shared<std::promise<void>>();
        boost::asio::post(this->context, [last] { last->set_value(); });
        this->guard.reset();
        if (last->get_future().wait_for(limit.chrono()) == std::future_status::ready) {
            this->thread.join();
            return true;
        }
        this->thread.detach();
        return false;
    }

private:
    std::ostream& output;
    std::atomic<bool> writing { false };
    boost::asio::io_context context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard { context.get_executor() };
    std::thread thread {};
};

/**
 * @brief Gathers lines and hands them to its writer in batches when it is flushed.
 * One batch is written at a time; lines that come meanwhile wait within the bound.
 */
class BatchSink final : public spdlog::sinks::base_sink<std::mutex> {
public:
    explicit BatchSink(std::ostream& stream)
        : writer(std::make_shared<Writer>(stream))
    {
        this->writer->start();
    }

    ~BatchSink() override { close(); }

    BatchSink(const BatchSink&) = delete;
    BatchSink& operator=(const BatchSink&) = delete;

    /** @return Whether all lines were written in time. */
    bool close()
    {
        const std::lock_guard<std::mutex> lock { this->mutex_ };
        if (!std::exchange(this->closed, true)) {
            this->writer->write(takeBatch());
            this->complete = this->writer->stop(stopLimit);
        }
        return this->complete;
    }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override { this->lines.push(format(message)); }

    void flush_() override
    {
        if (!this->closed && !this->lines.empty() && this->writer->claim()) {
            this->writer->write(takeBatch());
        }
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

    LineBuffer lines { queuedLines };
    const std::shared_ptr<Writer> writer;
    bool closed { false };
    bool complete { false };
};

} // namespace

void startLogging(std::ostream& output)
{
    auto logger = std::make_shared<spdlog::logger>("wasabiroad", std::make_shared<BatchSink>(output));
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ %v", spdlog::pattern_time_type::utc);
    spdlog::set_default_logger(std::move(logger));
}

void flushLog() { spdlog::default_logger_raw()->flush(); }

bool stopLogging()
{
    bool complete = true;
    if (const auto logger = spdlog::default_logger()) {
        for (const auto& sink : logger->sinks()) {
            if (auto* const batches = dynamic_cast<BatchSink*>(sink.get())) {
                complete = batches->close() && complete;
            }
        }
    }
    spdlog::shutdown();
    return complete;
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
    }
}

} // namespace wasabiroad::kernel
