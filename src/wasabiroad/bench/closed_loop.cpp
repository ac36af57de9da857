#include "wasabiroad/bench/closed_loop.hpp"

#include "wasabiroad/http/message.hpp"
#include "wasabiroad/traffic/headers.hpp"

#include <chrono>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace wasabiroad::bench {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::chrono::seconds exchangeTimeout { 10 };

class Loop {
public:
    explicit Loop(const ClosedLoop& loopOptions)
        : options(loopOptions)
    {
    }

    ClosedLoopResult run()
    {
        const auto begin = Clock::now();
        this->end = begin + this->options.length.chrono();
        for (std::size_t number = 0; number < this->options.connections; ++number) {
            asio::co_spawn(this->context, connection(number), asio::detached);
        }
        this->context.run();
        const std::chrono::duration<double> elapsed = Clock::now() - begin;
        return { this->latencies.size(), this->failed, std::move(this->latencies), elapsed.count() };
    }

private:
    asio::awaitable<void> connection(std::size_t number)
    {
        beast::tcp_stream stream { this->context };
        beast::flat_buffer buffer;
        asio::steady_timer timer { this->context };
        boost::system::error_code error;
        co_await stream.async_connect(this->options.server, asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
        }
        std::uint64_t serial = 0;
        while (!error && Clock::now() < this->end) {
            const auto id = "loop-" + std::to_string(number) + "-" + std::to_string(serial++);
            const auto body = "0 " + id;
            auto request = http::makeRequest(beast::http::verb::post, this->options.target, body);
            request.set({ traffic::headers::requestId.data(), traffic::headers::requestId.size() }, id);
            const auto sent = Clock::now();
            stream.expires_after(exchangeTimeout);
            co_await beast::http::async_write(
                stream, request, asio::redirect_error(asio::use_awaitable, error));
            http::Response response;
            if (!error) {
                co_await beast::http::async_read(
                    stream, buffer, response, asio::redirect_error(asio::use_awaitable, error));
            }
            record(sent, !error && response.body().ends_with(body));
            if (this->options.pause > kernel::Duration {} && !error) {
                timer.expires_after(this->options.pause.chrono());
                co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            }
        }
        if (error) {
            ++this->failed;
        }
    }

    void record(Clock::time_point sent, bool right)
    {
        if (!right) {
            ++this->failed;
            return;
        }
        const std::chrono::duration<double, std::milli> latency = Clock::now() - sent;
        this->latencies.push_back(latency.count());
    }

    const ClosedLoop& options;
    asio::io_context context { 1 };
    Clock::time_point end {};
    std::vector<double> latencies {};
    std::uint64_t failed { 0 };
};

} // namespace

ClosedLoopResult runClosedLoop(const ClosedLoop& options) { return Loop { options }.run(); }

} // namespace wasabiroad::bench
