#pragma once

#include "wasabiroad/lifecycle/request_machine.hpp"
#include "wasabiroad/metrics/metrics.hpp"
#include "wasabiroad/settings/settings.hpp"
#include "wasabiroad/traffic/attempt.hpp"
#include "wasabiroad/traffic/dispatch_port.hpp"
#include "wasabiroad/traffic/encode.hpp"

#include <optional>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace wasabiroad::traffic {

/** @brief What the sessions of one traffic thread share. */
struct ThreadState {
    boost::asio::io_context& context;
    UpstreamPool pool;
    model::RoutingSnapshotPointer snapshot {};
    /** @brief Prefix of identifiers made by this thread, unique among all daemons. */
    const std::string idPrefix;
    std::uint64_t nextId { 1 };
    std::size_t sessions { 0 };
    /** @brief Answers close their connection, so that callers move to another daemon. */
    bool closing { false };
};

/** @brief Serves the requests of one caller's connection, one after the other. */
class Session : public std::enable_shared_from_this<Session> {
public:
    /**
     * @brief Makes a session that is destroyed on its own thread.
     * The dispatcher's thread can hold the last reference, but must not touch the session's state.
     */
    static std::shared_ptr<Session> create(boost::asio::ip::tcp::socket socket, ThreadState& thread,
        DispatchPort& port, const settings::Limits& limits, kernel::Clock clock, metrics::Metrics& metrics);
    ~Session();
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    /** @brief Serves requests until the connection ends. */
    boost::asio::awaitable<void> run();

    /** @brief Ends the connection if it waits for a request. */
    void closeIfIdle();

private:
    Session(boost::asio::ip::tcp::socket socket, ThreadState& thread, DispatchPort& port,
        const settings::Limits& limits, kernel::Clock clock, metrics::Metrics& metrics);

    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<bool> readRequest(Parser& parser);
    boost::asio::awaitable<bool> serve(Parser& parser);
    boost::asio::awaitable<bool> dispatch(
        const model::Request& request, const std::string& body, bool keepAlive);
    boost::asio::awaitable<bool> execute(const model::Request& request, const std::string& body,
        const admission::Grant& grant, bool keepAlive);
    boost::asio::awaitable<admission::Decision> nextDecision();
    boost::asio::awaitable<bool> answer(const SystemAnswer& answer, bool keepAlive);
    void receive(const admission::Decision& decision);
    void callerGone(const model::Request& request);
    void advance(lifecycle::RequestEvent event);
    std::string makeId();

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer {};
    ThreadState& thread;
    DispatchPort& port;
    const settings::Limits& limits;
    const kernel::Clock clock;
    metrics::Metrics& metrics;
    Exchange exchange;
    boost::asio::steady_timer decisionTimer;
    std::optional<admission::Decision> decision {};
    DispatchPort::SubmissionPointer submission {};
    lifecycle::RequestState state { lifecycle::RequestState::Received };
    bool idle { true };
    bool gone { false };
};

} // namespace wasabiroad::traffic
