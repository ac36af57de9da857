#include "http.hpp"

#include <cstdlib>

#include <boost/beast/core.hpp>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

Server::Server(Handler answer)
    : handler(std::move(answer))
    , acceptor(context, tcp::endpoint { asio::ip::address_v4::loopback(), 0 })
    , port(acceptor.local_endpoint().port())
{
    std::thread { [this] { accept(); } }.detach();
}

void Server::accept()
{
    while (true) {
        boost::system::error_code failed;
        auto socket = this->acceptor.accept(failed);
        if (!failed) {
            socket.set_option(tcp::no_delay(true), failed);
            std::thread { [this, moved = std::move(socket)]() mutable { serve(std::move(moved)); } }.detach();
        }
    }
}

void Server::serve(tcp::socket socket) const
{
    beast::flat_buffer buffer;
    boost::system::error_code failed;
    bool silent = false;
    while (true) {
        Request request;
        beast::http::read(socket, buffer, request, failed);
        if (failed) {
            return;
        }
        if (silent) {
            continue;
        }
        const auto answer = this->handler(request);
        if (!answer) {
            silent = true;
            continue;
        }
        beast::http::response<beast::http::string_body> response { beast::http::int_to_status(answer->status),
            11 };
        response.set(beast::http::field::content_type, "application/json");
        response.keep_alive(request.keep_alive());
        response.body() = answer->body;
        response.prepare_payload();
        beast::http::write(socket, response, failed);
        if (failed || !request.keep_alive()) {
            return;
        }
    }
}

std::uint16_t freePort(const std::string& address)
{
    asio::io_context context;
    const tcp::acceptor probe { context, tcp::endpoint { asio::ip::make_address(address), 0 } };
    return probe.local_endpoint().port();
}

Answer call(const std::string& method, const std::string& address, const std::string& host,
    const std::string& target, const std::string& body, milliseconds timeout)
{
    const auto colon = address.find(':');
    const tcp::endpoint endpoint { asio::ip::make_address(address.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))) };
    asio::io_context context;
    beast::tcp_stream stream { context };
    Request request { beast::http::string_to_verb(method), target, 11 };
    request.set(beast::http::field::host, host);
    request.set(beast::http::field::content_type, "application/json");
    request.set("Wasabiroad-Deadline-Ms", std::to_string(timeout.count()));
    request.body() = body;
    request.prepare_payload();
    beast::flat_buffer buffer;
    beast::http::response<beast::http::string_body> response;
    bool answered = false;
    stream.expires_after(timeout);
    stream.async_connect(endpoint, [&](boost::system::error_code unconnected) {
        if (unconnected) {
            return;
        }
        beast::http::async_write(stream, request, [&](boost::system::error_code unsent, std::size_t) {
            if (unsent) {
                return;
            }
            beast::http::async_read(stream, buffer, response,
                [&](boost::system::error_code unread, std::size_t) { answered = !unread; });
        });
    });
    context.run();
    return answered ? Answer { response.result_int(), response.body() } : Answer { 0, "" };
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

} // namespace review
