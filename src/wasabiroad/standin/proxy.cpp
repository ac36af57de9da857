#include "wasabiroad/standin/proxy.hpp"

#include "wasabiroad/http/endpoint.hpp"

#include <array>
#include <optional>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/serialize.hpp>

namespace wasabiroad::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

struct Proxy::State {
    asio::io_context& context;
    const tcp::endpoint server;
    tcp::acceptor acceptor { context };
    tcp::endpoint bound {};
    std::shared_ptr<const Fault> fault { std::make_shared<const Fault>(NoFault {}) };
    kernel::Instant set {};
    pcg32 random {};
    std::uint64_t connections { 0 };
    std::uint64_t forwarded { 0 };
    std::uint64_t dropped { 0 };
    std::uint64_t ended { 0 };
};

namespace {

/** Two readings of the clock may be this much closer than they show, since each is cut to whole ms. */
constexpr kernel::Duration clockStep { 1 };

const kernel::Clock clock { kernel::SteadyClock {} };
constexpr std::size_t pieceBytes = 16384;

/** A client's connection, its connection to the server, and the fault drawn for it, if any. */
struct Pair {
    beast::tcp_stream client;
    beast::tcp_stream server;
    const std::optional<Fault> drawn;
};

using PairPointer = std::shared_ptr<Pair>;

void end(Pair& pair, Step::End how)
{
    boost::system::error_code ignored;
    for (auto* const stream : { &pair.client, &pair.server }) {
        if (how == Step::End::Reset) {
            stream->socket().set_option(asio::socket_base::linger(true, 0), ignored);
        } else {
            stream->socket().shutdown(tcp::socket::shutdown_send, ignored);
        }
        stream->close();
    }
}

asio::awaitable<void> pause(kernel::Duration length)
{
    if (length > kernel::Duration {}) {
        asio::steady_timer timer { co_await asio::this_coro::executor };
        timer.expires_after(length.chrono());
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

template <typename State> const Fault& faultOf(const State& state, const Pair& pair)
{
    return pair.drawn ? *pair.drawn : *state.fault;
}

template <typename State>
asio::awaitable<void> pump(std::shared_ptr<State> state, PairPointer pair, Direction direction)
{
    auto& source = direction == Direction::ToServer ? pair->client : pair->server;
    auto& target = direction == Direction::ToServer ? pair->server : pair->client;
    std::array<char, pieceBytes> piece {};
    std::uint64_t forwarded = 0;
    boost::system::error_code failed;
    while (true) {
        const auto size = co_await source.async_read_some(
            asio::buffer(piece), asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            break;
        }
        const Piece arrived { direction, forwarded, size, kernel::now(clock) - state->set - clockStep };
        const auto step = plan(faultOf(*state, *pair), arrived);
        co_await pause(step.delay);
        if (step.forward > 0) {
            co_await asio::async_write(target, asio::buffer(piece.data(), step.forward),
                asio::redirect_error(asio::use_awaitable, failed));
        }
        forwarded += step.forward;
        state->forwarded += step.forward;
        state->dropped += size - step.forward;
        if (step.end != Step::End::None) {
            ++state->ended;
            end(*pair, step.end);
            co_return;
        }
        if (failed) {
            break;
        }
    }
    if (failed == asio::error::eof) {
        target.socket().shutdown(tcp::socket::shutdown_send, failed);
    } else {
        end(*pair, Step::End::Reset);
    }
}

asio::awaitable<bool> sendAnswer(Pair& pair, http::Response& answer)
{
    boost::system::error_code failed;
    co_await beast::http::async_write(pair.client, answer, asio::redirect_error(asio::use_awaitable, failed));
    co_return !failed;
}

/**
 * Reads whole answers from the server. With a hold time, each answer waits for its successor; when
 * the time is over, it is sent alone and the connection ends.
 */
asio::awaitable<void> pumpAnswers(PairPointer pair, std::optional<kernel::Duration> hold)
{
    beast::flat_buffer buffer;
    std::optional<http::Response> held;
    while (true) {
        http::Response answer;
        boost::system::error_code failed;
        if (held) {
            pair->server.expires_after(hold->chrono());
        } else {
            pair->server.expires_never();
        }
        co_await beast::http::async_read(
            pair->server, buffer, answer, asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            if (held) {
                co_await sendAnswer(*pair, *held);
            }
            end(*pair, Step::End::Close);
            co_return;
        }
        if (hold && !held) {
            held = std::move(answer);
            continue;
        }
        bool sent = co_await sendAnswer(*pair, answer);
        if (sent && held) {
            sent = co_await sendAnswer(*pair, *held);
            held.reset();
        } else if (sent) {
            sent = co_await sendAnswer(*pair, answer);
        }
        if (!sent) {
            end(*pair, Step::End::Close);
            co_return;
        }
    }
}

template <typename State> asio::awaitable<void> connect(std::shared_ptr<State> state, PairPointer pair)
{
    const auto fault = faultOf(*state, *pair);
    if (std::holds_alternative<Reset>(fault)) {
        ++state->ended;
        end(*pair, Step::End::Reset);
        co_return;
    }
    boost::system::error_code failed;
    if (!std::holds_alternative<BlackHole>(fault)) {
        co_await pair->server.async_connect(state->server, asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            end(*pair, Step::End::Reset);
            co_return;
        }
        pair->server.socket().set_option(tcp::no_delay(true), failed);
        if (std::holds_alternative<DuplicateAnswers>(fault)) {
            asio::co_spawn(state->context, pumpAnswers(pair, std::nullopt), asio::detached);
        } else if (const auto* const reorder = std::get_if<ReorderAnswers>(&fault)) {
            asio::co_spawn(state->context, pumpAnswers(pair, reorder->hold), asio::detached);
        } else {
            asio::co_spawn(state->context, pump(state, pair, Direction::ToClient), asio::detached);
        }
    }
    co_await pump(state, pair, Direction::ToServer);
}

template <typename State> asio::awaitable<void> accept(std::shared_ptr<State> state)
{
    while (state->acceptor.is_open()) {
        boost::system::error_code failed;
        auto socket
            = co_await state->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            continue;
        }
        socket.set_option(tcp::no_delay(true), failed);
        ++state->connections;
        std::optional<Fault> drawn;
        if (const auto* const random = std::get_if<RandomFaults>(state->fault.get())) {
            drawn.emplace(drawFault(*random, state->random()));
        }
        const PairPointer pair { new Pair {
            beast::tcp_stream { std::move(socket) }, beast::tcp_stream { state->context }, drawn } };
        asio::co_spawn(state->context, connect(state, pair), asio::detached);
    }
}

template <typename State> boost::system::error_code open(const std::shared_ptr<State>& state)
{
    boost::system::error_code failed;
    state->acceptor.open(state->bound.protocol(), failed);
    state->acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
    state->acceptor.bind(state->bound, failed);
    if (!failed) {
        state->acceptor.listen(asio::socket_base::max_listen_connections, failed);
    }
    if (!failed) {
        state->bound = state->acceptor.local_endpoint();
        asio::co_spawn(state->context, accept(state), asio::detached);
    }
    return failed;
}

} // namespace

Proxy::Proxy(asio::io_context& context, tcp::endpoint server)
    : state(new State { context, std::move(server) })
{
}

Proxy::~Proxy()
{
    boost::system::error_code ignored;
    this->state->acceptor.close(ignored);
}

kernel::Expected<std::string> Proxy::listen(const std::string& address)
{
    const auto endpoint = http::parseEndpoint(address);
    if (!endpoint) {
        return tl::unexpected(endpoint.error());
    }
    this->state->bound = *endpoint;
    if (const auto failed = open(this->state)) {
        return kernel::fail(kernel::ResultCode::ListenFailed, address, failed.message());
    }
    return http::toText(this->state->bound);
}

void Proxy::inject(const Fault& fault)
{
    this->state->fault = std::make_shared<const Fault>(fault);
    this->state->set = kernel::now(clock);
    if (const auto* const random = std::get_if<RandomFaults>(&fault)) {
        this->state->random.seed(random->seed);
    }
    boost::system::error_code ignored;
    if (std::holds_alternative<Refuse>(fault)) {
        this->state->acceptor.close(ignored);
    } else if (!this->state->acceptor.is_open()) {
        open(this->state);
    }
}

ProxyCounts Proxy::counts() const
{
    return { this->state->connections, this->state->forwarded, this->state->dropped, this->state->ended };
}

http::Response Proxy::answerAdmin(const http::Request& request)
{
    const auto target = http::parseTarget({ request.target().data(), request.target().size() });
    const auto reply = [&](unsigned status, const boost::json::value& document) {
        return http::respond(request, status, "application/json", boost::json::serialize(document));
    };
    if (target && target->path == "/fault") {
        const auto fault = parseFault(*target);
        if (!fault) {
            return reply(400, { { "error", name(fault.error().code) }, { "found", fault.error().found } });
        }
        inject(*fault);
        return reply(200, { { "fault", kindOf(*fault) } });
    }
    if (target && target->path == "/counts") {
        const auto now = counts();
        return reply(200,
            { { "connections", now.connections }, { "forwarded-bytes", now.forwardedBytes },
                { "dropped-bytes", now.droppedBytes }, { "ended", now.ended } });
    }
    return reply(404, { { "error", "unknown path" } });
}

asio::awaitable<http::Response> Proxy::handleAdmin(http::Request request) { co_return answerAdmin(request); }

} // namespace wasabiroad::standin
