#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json.hpp>

namespace wasabiroad::soak {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
template <typename T = void> using Task = boost::asio::awaitable<T>;

/** @brief Status and body of an answer. */
struct Answer {
    unsigned status { 200 };
    std::string body { "{}" };
};

/** @brief Answers a request, or nothing: then the connection stays open and silent. */
using Handler = std::function<Task<std::optional<Answer>>(Request)>;

/** @brief What a path does with the messages on it. */
enum class Traffic { Passing, Held, AnswersLost };

/** @brief The network path to a server. */
class Link {
public:
    void set(Traffic next) { this->traffic = next; }
    Traffic mode() const { return this->traffic; }

    /** @brief Leaves the present connections half open: they stay up and carry nothing any more. */
    void sever() { ++this->generation; }

    /** @brief Resets the present connections. */
    void reset();

private:
    friend class Server;

    Traffic traffic { Traffic::Passing };
    std::uint64_t generation { 0 };
    std::set<boost::asio::ip::tcp::socket*> sockets {};
};

/** @brief HTTP server on a free loopback port. */
class Server {
public:
    Server(boost::asio::io_context& context, Handler handler);
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(this->port); }
    Link& path() { return this->link; }
    const Link& path() const { return this->link; }

private:
    Task<> accept();
    Task<> serve(boost::asio::ip::tcp::socket socket);

    const Handler handler;
    boost::asio::ip::tcp::acceptor acceptor;
    std::uint16_t port { 0 };
    Link link {};
};

/** @brief Waits without holding up the thread. */
Task<> pause(milliseconds duration);

/** @brief Wakes all operations that wait for it. */
class Signal {
public:
    /** @brief Waits for the next notice, or until a time. */
    Task<> wait(Clock::time_point until);
    void notify();

private:
    std::set<boost::asio::steady_timer*> waiting {};
};

/** @brief Starts an operation that goes on by itself. */
void start(boost::asio::io_context& context, Task<> operation);

/** @brief A request of a client. */
struct Call {
    std::string method {};
    std::string address {};
    std::string host {};
    std::string target {};
    std::string body {};
};

/**
 * @brief Sends one request on a connection of its own.
 * @param timeout Time for the answer; the connection is closed then.
 * @return The answer; status 0 if there was none.
 */
Task<Answer> call(Call content, milliseconds timeout);

/** @return The value of a query parameter, decoded, or an empty text. */
std::string queryValue(const Request& request, const std::string& name);

/** @return The path of a request without its query. */
std::string pathOf(const Request& request);

/** @return A field of an object as a number, 0 if it is absent. */
std::int64_t numberField(const boost::json::object& object, const char* name);

/** @return A field of an object as a text, empty if it is absent. */
std::string textField(const boost::json::object& object, const char* name);

/** @return The body of a request; an empty object if it is not one. */
boost::json::object bodyOf(const Request& request);

/** @return Time since the start of this process. */
std::int64_t nowMs();

/** @return Unix time. */
std::int64_t unixMs();

/** @brief Random numbers of one run. */
class Dice {
public:
    explicit Dice(std::uint64_t seed)
        : engine(seed)
    {
    }

    /** @return A number from low to high, both included. */
    std::int64_t within(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t> { low, high }(this->engine);
    }

    bool chance(double share) { return std::bernoulli_distribution { share }(this->engine); }

    template <typename Container> auto& pick(Container& items)
    {
        return items[static_cast<std::size_t>(within(0, static_cast<std::int64_t>(items.size()) - 1))];
    }

private:
    std::mt19937_64 engine;
};

} // namespace wasabiroad::soak
