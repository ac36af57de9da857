#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

namespace review {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** @brief Status and body of an answer. */
struct Answer {
    unsigned status { 200 };
    std::string body { "{}" };
};

/** @brief Answers a request, or nothing: then the connection stays open and silent. */
using Handler = std::function<std::optional<Answer>(const Request&)>;

/** @brief HTTP server on a free loopback port with a thread for each connection. */
class Server {
public:
    explicit Server(Handler handler);

    std::string address() const { return "127.0.0.1:" + std::to_string(this->port); }

private:
    void accept();
    void serve(boost::asio::ip::tcp::socket socket) const;

    const Handler handler;
    boost::asio::io_context context {};
    boost::asio::ip::tcp::acceptor acceptor;
    std::uint16_t port { 0 };
};

/** @return A port of a loopback address that was free a moment ago. */
std::uint16_t freePort(const std::string& address);

/**
 * @brief Sends one request on a connection of its own.
 * @param address Loopback address and port.
 * @param timeout Time for the answer; the connection is closed then.
 * @return The answer; status 0 if there was none.
 */
Answer call(const std::string& method, const std::string& address, const std::string& host,
    const std::string& target, const std::string& body, milliseconds timeout);

/** @return The value of a query parameter, decoded, or an empty text. */
std::string queryValue(const Request& request, const std::string& name);

/** @return The path of a request without its query. */
std::string pathOf(const Request& request);

/** @return A field of an object as a number, 0 if it is absent. */
std::int64_t numberField(const boost::json::object& object, const char* name);

/** @return A field of an object as a text, empty if it is absent. */
std::string textField(const boost::json::object& object, const char* name);

} // namespace review
