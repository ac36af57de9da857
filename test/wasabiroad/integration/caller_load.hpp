#pragma once

#include "wasabiroad/http/endpoint.hpp"
#include "wasabiroad/http/message.hpp"
#include "wasabiroad/kernel/clock.hpp"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace wasabiroad::test {

/** @brief What a caller knows about one of its requests. */
enum class Seen { Answered, Foreign, NotRun, Unknown, Broken };

/** @brief Callers that send requests on kept connections until the daemon no longer accepts any. */
class CallerLoad {
public:
    /**
     * @param connections Callers at once.
     * @param target Operation to call.
     * @param ticketed Whether each request takes a ticket on its connection first.
     */
    CallerLoad(const std::string& address, std::size_t connections, const std::string& target, bool ticketed)
        : endpoint(*http::parseEndpoint(address))
        , target(target)
        , ticketed(ticketed)
    {
        for (std::size_t index = 0; index < connections; ++index) {
            boost::asio::co_spawn(
                this->context, call("load-" + std::to_string(index) + "-"), boost::asio::detached);
        }
        this->runner = std::thread { [this] { this->context.run(); } };
    }

    CallerLoad(const CallerLoad&) = delete;
    CallerLoad& operator=(const CallerLoad&) = delete;
    ~CallerLoad()
    {
        this->stopping = true;
        finish();
    }

    /** @return Whether so many requests were answered before the time was over. */
    bool waitForAnswers(std::size_t count, kernel::Duration timeout)
    {
        std::unique_lock lock { this->mutex };
        return this->changed.wait_for(lock, timeout.chrono(), [&] { return this->answered >= count; });
    }

    /** @brief Ends the callers after their current request. */
    void stop() { this->stopping = true; }

    /** @return What was seen of each request, when all callers have ended. */
    const std::map<std::string, Seen>& finish()
    {
        if (this->runner.joinable()) {
            this->runner.join();
        }
        return this->seen;
    }

private:
    using Stream = boost::beast::tcp_stream;

    void record(const std::string& id, Seen what)
    {
        const std::lock_guard lock { this->mutex };
        this->seen[id] = what;
        this->answered += what == Seen::Answered ? 1U : 0U;
        this->changed.notify_all();
    }

    static Seen judge(const http::Response& response, const std::string& id)
    {
        if (response["Wasabiroad-Outcome"] == "not-run") {
            return Seen::NotRun;
        }
        if (response["Wasabiroad-Outcome"] == "unknown") {
            return Seen::Unknown;
        }
        return response.body() == id + "\n2 " + id ? Seen::Answered : Seen::Foreign;
    }

    boost::asio::awaitable<bool> exchange(
        Stream& stream, const http::Request& request, http::Response& response)
    {
        boost::system::error_code failed;
        stream.expires_after(std::chrono::seconds { 60 });
        co_await boost::beast::http::async_write(
            stream, request, boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        if (!failed) {
            boost::beast::flat_buffer buffer;
            co_await boost::beast::http::async_read(
                stream, buffer, response, boost::asio::redirect_error(boost::asio::use_awaitable, failed));
        }
        co_return !failed;
    }

    boost::asio::awaitable<void> call(std::string prefix)
    {
        for (std::size_t number = 0; !this->stopping;) {
            Stream stream { this->context };
            boost::system::error_code failed;
            co_await stream.async_connect(
                this->endpoint, boost::asio::redirect_error(boost::asio::use_awaitable, failed));
            if (failed) {
                co_return;
            }
            for (bool open = true; open && !this->stopping;) {
                const auto id = prefix + std::to_string(number++);
                auto request = http::makeRequest(boost::beast::http::verb::post, this->target, "2 " + id);
                request.set("Wasabiroad-Request-Id", id);
                if (this->ticketed) {
                    const auto asked = http::makeRequest(boost::beast::http::verb::post, "/tickets");
                    http::Response ticket;
                    if (!co_await exchange(stream, asked, ticket) || !ticket.keep_alive()) {
                        break;
                    }
                    request.set("Wasabiroad-Ticket", ticket["Wasabiroad-Ticket"]);
                }
                http::Response response;
                const bool whole = co_await exchange(stream, request, response);
                record(id, whole ? judge(response, id) : Seen::Broken);
                open = whole && response.keep_alive();
            }
        }
    }

    boost::asio::io_context context { 1 };
    const boost::asio::ip::tcp::endpoint endpoint;
    const std::string target;
    const bool ticketed;
    std::thread runner {};
    std::atomic<bool> stopping { false };
    std::mutex mutex {};
    std::condition_variable changed {};
    std::map<std::string, Seen> seen {};
    std::size_t answered { 0 };
};

} // namespace wasabiroad::test
