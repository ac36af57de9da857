#pragma once

#include "wasabiroad/lifecycle/request_machine.hpp"
#include "wasabiroad/settings/settings.hpp"
#include "wasabiroad/traffic/attempt.hpp"
#include "wasabiroad/traffic/claim.hpp"
#include "wasabiroad/traffic/decode.hpp"
#include "wasabiroad/traffic/dispatch_port.hpp"
#include "wasabiroad/traffic/encode.hpp"
#include "wasabiroad/traffic/request_metrics.hpp"

#include <optional>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace wasabiroad::traffic {

/** @brief What the sessions of one traffic thread share. */
struct ThreadState {
    boost::asio::io_context& context;
    UpstreamPool pool;
    RequestMetrics metrics;
    model::RoutingSnapshotPointer snapshot {};
    /** @brief Prefix of identifiers made by this thread, unique among all daemons. */
    const std::string idPrefix;
    std::uint64_t nextId { 1 };
    std::size_t sessions { 0 };
    /** @brief Answers close their connection, so that callers move to another daemon. */
    bool closing { false };
};

/** @brief What the sessions of all threads share. */
struct Environment {
    DispatchPort& port;
    const settings::Limits limits;
    /** @brief Steady clock. */
    const kernel::Clock clock;
    /** @brief Holds the claims. */
    const platform::Store store;
};

/** @brief Serves the requests of one caller's connection, one after the other. */
class Session : public std::enable_shared_from_this<Session> {
public:
    /**
     * @brief Makes a session that is destroyed on its own thread.
     * The dispatcher's thread can hold the last reference, but must not touch the session's state.
     */
    static std::shared_ptr<Session> create(boost::asio::ip::tcp::socket socket,
        const std::shared_ptr<ThreadState>& thread, const Environment& environment);
    ~Session();
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    /** @brief Serves requests until the connection ends. */
    boost::asio::awaitable<void> run();

    /** @brief Ends the connection if it has waited for a request since before an instant. */
    void closeIfIdle(kernel::Instant idleBefore);

private:
    Session(boost::asio::ip::tcp::socket socket, std::shared_ptr<ThreadState> thread,
        const Environment& environment);

    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<bool> waitForRequest();
    boost::asio::awaitable<bool> readRequest(Parser& parser);
    boost::asio::awaitable<boost::system::error_code> readMessage(Parser& parser);
    boost::asio::awaitable<bool> serve(Parser& parser);
    boost::asio::awaitable<bool> serveTicket(const RequestHeader& header, bool keepAlive);
    boost::asio::awaitable<bool> dispatch(
        const DecodedRequest& decoded, const std::string& body, bool keepAlive);
    /** @brief How a session goes on after an attempt. */
    enum class Next : std::uint8_t {
        /** @brief The dispatcher decides again about the same request. */
        WaitForDecision,
        /** @brief The request has its answer; the connection may serve another one. */
        Answered,
        /** @brief The connection must be closed. */
        Close,
    };

    boost::asio::awaitable<Next> attemptGranted(const DecodedRequest& decoded, const std::string& body,
        const admission::Grant& grant, bool keepAlive);
    boost::asio::awaitable<std::optional<SystemAnswer>> claimRequest(
        const model::Request& request, const NeedsClaim& needed);
    boost::asio::awaitable<Next> execute(const DecodedRequest& decoded, const std::string& body,
        const admission::Grant& grant, bool keepAlive);
    boost::asio::awaitable<std::optional<admission::Decision>> nextDecision();
    boost::asio::awaitable<bool> answer(const SystemAnswer& answer, bool keepAlive);
    boost::asio::awaitable<bool> send(const http::Response& response, bool keepAlive);
    boost::asio::awaitable<void> closeGently();
    void receive(const admission::Decision& decision);
    void callerGone(bool stoppable);
    Next settle(const model::Request& request, const AttemptResult& result);
    void record(const Attempt& attempt, const AttemptResult& result, kernel::Instant started);
    void advance(lifecycle::RequestEvent event);
    std::string makeId();

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer {};
    /** @brief Shared, as a session that waits for its end on a stopped context outlives the front end. */
    const std::shared_ptr<ThreadState> thread;
    const Environment& environment;
    Exchange exchange;
    boost::asio::steady_timer decisionTimer;
    std::optional<admission::Decision> decision {};
    DispatchPort::SubmissionPointer submission {};
    lifecycle::RequestState state { lifecycle::RequestState::Received };
    bool idle { true };
    kernel::Instant idleSince {};
    bool gone { false };
    /** @brief Whether this session holds the claim of its current request. */
    bool claimHeld { false };
};

} // namespace wasabiroad::traffic
