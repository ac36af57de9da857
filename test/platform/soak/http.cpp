#include "http.hpp"

#include <cstdlib>
#include <iostream>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace wasabiroad::soak {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr auto resume = asio::as_tuple(asio::use_awaitable);

/** Interval at which a held message looks whether the path carries messages again. */
constexpr milliseconds heldInterval { 20 };

const Clock::time_point processStart = Clock::now();

} // namespace

void Link::reset()
{
    for (auto* const socket : this->sockets) {
        boost::system::error_code ignored;
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
}

Server::Server(asio::io_context& context, Handler answer)
    : handler(std::move(answer))
    , acceptor(context, tcp::endpoint { asio::ip::address_v4::loopback(), 0 })
    , port(acceptor.local_endpoint().port())
{
    start(context, accept());
}

Task<> Server::accept()
{
    while (true) {
        auto [failed, socket] = co_await this->acceptor.async_accept(resume);
        if (!failed) {
            socket.set_option(tcp::no_delay(true));
            asio::co_spawn(this->acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }
}

Task<> Server::serve(tcp::socket socket)
{
    struct Registration {
        Registration(std::set<tcp::socket*>& all, tcp::socket& added)
            : sockets(all)
            , socket(added)
        {
            this->sockets.insert(&this->socket);
        }
        ~Registration() { this->sockets.erase(&this->socket); }
        std::set<tcp::socket*>& sockets;
        tcp::socket& socket;
    };
    const Registration registration { this->link.sockets, socket };
    const auto generation = this->link.generation;
    beast::flat_buffer buffer;
    bool silent = false;
    while (true) {
        Request request;
        const auto [unread, size] = co_await beast::http::async_read(socket, buffer, request, resume);
        if (unread) {
            co_return;
        }
        while (this->link.traffic == Traffic::Held) {
            co_await pause(heldInterval);
        }
        if (silent || generation != this->link.generation) {
            continue;
        }
        const bool keepsAlive = request.keep_alive();
        std::optional<Answer> answer;
        try {
            answer = co_await this->handler(std::move(request));
        } catch (const std::exception& exception) {
            std::cerr << "handler: " << exception.what() << "\n";
            answer = Answer { 400, "{}" };
        }
        while (this->link.traffic == Traffic::Held) {
            co_await pause(heldInterval);
        }
        if (!answer || this->link.traffic == Traffic::AnswersLost || generation != this->link.generation) {
            silent = true;
            continue;
        }
        beast::http::response<beast::http::string_body> response { beast::http::int_to_status(answer->status),
            11 };
        response.set(beast::http::field::content_type, "application/json");
        response.keep_alive(keepsAlive);
        response.body() = answer->body;
        response.prepare_payload();
        const auto [unsent, sent] = co_await beast::http::async_write(socket, response, resume);
        if (unsent || !keepsAlive) {
            co_return;
        }
    }
}

Task<> pause(milliseconds duration)
{
    asio::steady_timer timer { co_await asio::this_coro::executor, duration };
    co_await timer.async_wait(resume);
}

Task<> Signal::wait(Clock::time_point until)
{
    asio::steady_timer timer { co_await asio::this_coro::executor, until };
    this->waiting.insert(&timer);
    co_await timer.async_wait(resume);
    this->waiting.erase(&timer);
}

void Signal::notify()
{
    for (auto* const timer : this->waiting) {
        timer->cancel();
    }
}

void start(asio::io_context& context, Task<> operation)
{
    asio::co_spawn(context, std::move(operation), [](const std::exception_ptr& failed) {
        if (failed) {
            std::rethrow_exception(failed);
        }
    });
}

Task<Answer> call(Call content, milliseconds timeout)
{
    const auto& address = content.address;
    const auto colon = address.find(':');
    const tcp::endpoint endpoint { asio::ip::make_address(address.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))) };
    beast::tcp_stream stream { co_await asio::this_coro::executor };
    Request request { beast::http::string_to_verb(content.method), content.target, 11 };
    request.set(beast::http::field::host, content.host);
    request.set(beast::http::field::content_type, "application/json");
    request.set("Wasabiroad-Deadline-Ms", std::to_string(timeout.count()));
    request.body() = std::move(content.body);
    request.prepare_payload();
    beast::flat_buffer buffer;
    beast::http::response<beast::http::string_body> response;
    stream.expires_after(timeout);
    const auto [unconnected] = co_await stream.async_connect(endpoint, resume);
    if (unconnected) {
        co_return Answer { 0, "" };
    }
    const auto [unsent, sent] = co_await beast::http::async_write(stream, request, resume);
    if (unsent) {
        co_return Answer { 0, "" };
    }
    const auto [unread, received] = co_await beast::http::async_read(stream, buffer, response, resume);
    if (unread) {
        co_return Answer { 0, "" };
    }
    co_return Answer { response.result_int(), response.body() };
}

namespace {

std::string decodeUrl(const std::string& text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            decoded += static_cast<char>(std::strtol(text.substr(index + 1, 2).c_str(), nullptr, 16));
            index += 2;
        } else {
            decoded += text[index];
        }
    }
    return decoded;
}

} // namespace

std::string queryValue(const Request& request, const std::string& name)
{
    const std::string target { request.target() };
    auto position = target.find('?');
    while (position != std::string::npos) {
        const auto end = target.find('&', position + 1);
        const auto part
            = target.substr(position + 1, end == std::string::npos ? std::string::npos : end - position - 1);
        if (part.starts_with(name + "=")) {
            return decodeUrl(part.substr(name.size() + 1));
        }
        position = end;
    }
    return "";
}

std::string pathOf(const Request& request)
{
    const std::string target { request.target() };
    return target.substr(0, target.find('?'));
}

std::int64_t numberField(const boost::json::object& object, const char* name)
{
    const auto* const value = object.if_contains(name);
    return value != nullptr && value->is_number() ? value->to_number<std::int64_t>() : 0;
}

std::string textField(const boost::json::object& object, const char* name)
{
    const auto* const value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string { value->get_string() } : std::string {};
}

boost::json::object bodyOf(const Request& request)
{
    boost::system::error_code failed;
    const auto body = boost::json::parse(request.body(), failed);
    return !failed && body.is_object() ? body.get_object() : boost::json::object {};
}

std::int64_t nowMs() { return std::chrono::duration_cast<milliseconds>(Clock::now() - processStart).count(); }

std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace wasabiroad::soak
