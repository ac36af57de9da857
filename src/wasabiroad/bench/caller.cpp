#include "wasabiroad/bench/caller.hpp"

#include "wasabiroad/http/message.hpp"
#include "wasabiroad/traffic/headers.hpp"

#include <charconv>
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
namespace headers = traffic::headers;
using Time = std::chrono::steady_clock::time_point;

namespace {

std::int64_t microseconds(Time time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

beast::string_view view(std::string_view text) { return { text.data(), text.size() }; }

/** Connection to a daemon. */
struct Connection {
    beast::tcp_stream stream;
    beast::flat_buffer buffer {};
};

using ConnectionPointer = std::unique_ptr<Connection>;

http::Request encode(const Arrival& arrival, const std::string& id, const std::string& body)
{
    auto request = http::makeRequest(
        beast::http::verb::post, "/services/" + arrival.service + "/" + arrival.operation, body);
    request.set(view(headers::requestId), id);
    request.set(view(headers::deadline), std::to_string(arrival.deadline.milliseconds));
    request.set(view(headers::declared), std::to_string(arrival.declared.milliseconds));
    return request;
}

unsigned codeOf(const http::Response& response)
{
    const auto text = response[view(headers::code)];
    unsigned code = 0;
    std::from_chars(text.data(), text.data() + text.size(), code);
    return code;
}

Result resultOf(const http::Response& response, const std::string& id, const std::string& body)
{
    if (response[view(headers::requestId)] != id) {
        return MixedUp {};
    }
    const auto outcome = response[view(headers::outcome)];
    if (outcome == "not-run") {
        return Refused { codeOf(response) };
    }
    if (outcome == "unknown") {
        return Unknown { codeOf(response) };
    }
    const auto status = response.result_int();
    if (status == 200 && response.body() != id + "\n" + body) {
        return MixedUp {};
    }
    return Answered { status };
}

Result resultOf(const boost::system::error_code& failed)
{
    return failed == beast::error::timeout ? Result { Lost {} } : Result { Broken {} };
}

/** State of one load; used by one thread. */
class Load {
public:
    Load(const model::Manifest& manifest, const LoadOptions& loadOptions)
        : options(loadOptions)
        , arrivals(manifest, loadOptions.profile)
        , idle(loadOptions.daemons.size())
    {
    }

    std::vector<Record> run()
    {
        asio::co_spawn(this->context, generate(), asio::detached);
        asio::co_spawn(this->context, reportProgress(), asio::detached);
        this->context.run();
        return std::move(this->records);
    }

private:
    asio::awaitable<void> generate()
    {
        asio::steady_timer timer { this->context };
        boost::system::error_code ignored;
        while (auto arrival = this->arrivals.next()) {
            const auto at = this->begin + std::chrono::microseconds { arrival->at };
            if (at > std::chrono::steady_clock::now()) {
                timer.expires_at(at);
                co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            }
            const auto number = this->sent++;
            asio::co_spawn(this->context, call(*arrival, number), asio::detached);
        }
        this->generated = true;
        finish();
    }

    asio::awaitable<void> reportProgress()
    {
        constexpr std::chrono::seconds interval { 2 };
        boost::system::error_code stopped;
        while (this->options.report && !stopped) {
            this->progress.expires_after(interval);
            co_await this->progress.async_wait(asio::redirect_error(asio::use_awaitable, stopped));
            const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - this->begin);
            this->options.report({ { elapsed.count() }, this->sent, this->records.size() });
        }
    }

    asio::awaitable<void> call(Arrival arrival, std::uint64_t number)
    {
        const auto id = this->prefix + std::to_string(number);
        const auto result = co_await exchange(arrival, id);
        this->records.emplace_back(Record { id, arrival.isLong, arrival.idempotent,
            microseconds(this->begin) + arrival.at, microseconds(std::chrono::steady_clock::now()), result });
        finish();
    }

    asio::awaitable<Result> exchange(const Arrival& arrival, const std::string& id)
    {
        const auto daemon = arrival.balance % this->options.daemons.size();
        const auto body = std::to_string(arrival.runTime.milliseconds) + " body of " + id;
        auto request = encode(arrival, id, body);
        auto connection = take(daemon);
        connection->stream.expires_after((arrival.deadline + this->options.grace).chrono());
        auto failed = co_await connect(*connection, daemon);
        http::Response response;
        if (!failed && !arrival.idempotent) {
            const auto ticketRequest = http::makeRequest(beast::http::verb::post, "/tickets");
            failed = co_await send(*connection, ticketRequest, response);
            request.set(view(headers::ticket), response[view(headers::ticket)]);
        }
        if (!failed) {
            response = {};
            failed = co_await send(*connection, request, response);
        }
        if (failed) {
            co_return resultOf(failed);
        }
        if (response.keep_alive()) {
            connection->stream.expires_never();
            this->idle[daemon].push_back(std::move(connection));
        }
        co_return resultOf(response, id, body);
    }

    asio::awaitable<boost::system::error_code> connect(Connection& connection, std::size_t daemon)
    {
        boost::system::error_code failed;
        if (!connection.stream.socket().is_open()) {
            co_await connection.stream.async_connect(
                this->options.daemons[daemon], asio::redirect_error(asio::use_awaitable, failed));
            if (!failed) {
                connection.stream.socket().set_option(asio::ip::tcp::no_delay(true), failed);
            }
        }
        co_return failed;
    }

    static asio::awaitable<boost::system::error_code> send(
        Connection& connection, const http::Request& request, http::Response& response)
    {
        boost::system::error_code failed;
        co_await beast::http::async_write(
            connection.stream, request, asio::redirect_error(asio::use_awaitable, failed));
        if (!failed) {
            co_await beast::http::async_read(connection.stream, connection.buffer, response,
                asio::redirect_error(asio::use_awaitable, failed));
        }
        co_return failed;
    }

    ConnectionPointer take(std::size_t daemon)
    {
        auto& connections = this->idle[daemon];
        while (!connections.empty()) {
            auto connection = std::move(connections.back());
            connections.pop_back();
            // A connection that the daemon has closed meanwhile reads as ready.
            boost::system::error_code failed;
            const auto ready = connection->stream.socket().available(failed);
            if (!failed && ready == 0) {
                return connection;
            }
        }
        return ConnectionPointer { new Connection { beast::tcp_stream { this->context } } };
    }

    void finish()
    {
        if (this->generated && this->records.size() == this->sent) {
            this->progress.cancel();
        }
    }

    const LoadOptions& options;
    asio::io_context context { 1 };
    asio::steady_timer progress { context };
    ArrivalSequence arrivals;
    const Time begin { std::chrono::steady_clock::now() };
    const std::string prefix { std::to_string(microseconds(begin)) + "-" };
    std::vector<std::vector<ConnectionPointer>> idle;
    std::vector<Record> records {};
    std::uint64_t sent { 0 };
    bool generated { false };
};

} // namespace

std::vector<Record> sendLoad(const model::Manifest& manifest, const LoadOptions& options)
{
    return Load { manifest, options }.run();
}

} // namespace wasabiroad::bench
