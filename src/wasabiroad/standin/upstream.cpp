#include "wasabiroad/standin/upstream.hpp"

#include "wasabiroad/http/endpoint.hpp"
#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/kernel/overloaded.hpp"
#include "wasabiroad/traffic/headers.hpp"

#include <charconv>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <pcg_random.hpp>

namespace wasabiroad::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace headers = traffic::headers;
using asio::ip::tcp;

struct Upstream::State {
    asio::io_context& context;
    const UpstreamOptions options;
    RunLog& log;
    tcp::acceptor acceptor;
    std::shared_ptr<const Behaviour> behaviour;
    pcg32 random;
    std::uint32_t running { 0 };
    std::uint32_t open { 0 };
};

namespace {

/** @brief Course of one request. */
struct Course {
    enum class End : std::uint8_t { Answer, Silence, Close };

    const bool runs { true };
    const bool fails { false };
    const std::uint32_t factor { 1 };
    const End end { End::Answer };
};

/** @param draw Uniform number from 0 to 99. */
Course courseOf(const Behaviour& behaviour, std::uint32_t draw)
{
    return std::visit(
        kernel::Overloaded {
            [](const FailFast&) { return Course { .fails = true, .factor = 0 }; },
            [](const Slow& slow) { return Course { .factor = slow.factor }; },
            [](const Unresponsive&) { return Course { .runs = false, .end = Course::End::Silence }; },
            [&](const KillBeforeRun& kill) {
                return draw < kill.percent ? Course { .runs = false, .end = Course::End::Close } : Course {};
            },
            [&](const KillAfterRun& kill) {
                return draw < kill.percent ? Course { .end = Course::End::Close } : Course {};
            },
            [](const auto&) { return Course {}; },
        },
        behaviour);
}

beast::string_view view(std::string_view text) { return { text.data(), text.size() }; }

kernel::Duration runTime(const std::string& body)
{
    std::int64_t milliseconds = 0;
    std::from_chars(body.data(), body.data() + body.size(), milliseconds);
    return { milliseconds };
}

std::string valueOf(const http::Request& request, std::string_view name)
{
    return std::string { request[view(name)] };
}

std::string faultOf(const std::string& body)
{
    constexpr std::string_view key { "fault=" };
    const auto found = body.find(key);
    if (found == std::string::npos) {
        return {};
    }
    const auto begin = found + key.size();
    return body.substr(begin, body.find(' ', begin) - begin);
}

/** Changes a whole answer into the faulty one that the request asks for. */
http::Response spoil(http::Response response, const std::string& fault)
{
    if (fault == "truncate") {
        response.content_length(response.body().size() + 1000);
        response.keep_alive(false);
    } else if (fault == "chunked") {
        response.chunked(true);
    } else if (fault == "no-length") {
        response.content_length(boost::none);
        response.keep_alive(false);
    } else if (fault == "foreign") {
        response.set(view(headers::attempt), "another-attempt");
    } else if (fault == "no-attempt") {
        response.erase(view(headers::attempt));
    } else if (fault == "leaving") {
        response.set(view(headers::leaving), "yes");
    } else if (fault == "contradict") {
        response.set(view(headers::outcome), "not-run");
        response.set(view(headers::code), "306");
    } else if (fault == "fail" || fault == "refuse-unproven") {
        response.result(fault == "fail" ? 500U : 503U);
    }
    return response;
}

http::Response answer(const http::Request& request, unsigned status, std::string body, bool leaving)
{
    auto response = http::respond(request, status, "text/plain", std::move(body));
    response.set(view(headers::attempt), valueOf(request, headers::attempt));
    if (leaving) {
        response.set(view(headers::leaving), "yes");
    }
    return response;
}

http::Response refusal(const http::Request& request, bool leaving)
{
    auto response = answer(request, 503, "no free slot\n", leaving);
    response.set(view(headers::started), "no");
    return response;
}

http::Response status(const http::Request& request, std::uint32_t running, bool leaving)
{
    return http::respond(request, 200, "application/json",
        "{\"running\":" + std::to_string(running) + ",\"leaving\":" + (leaving ? "true" : "false") + "}");
}

template <typename State> std::size_t logStart(State& state, const http::Request& request)
{
    const Run run { valueOf(request, headers::requestId), valueOf(request, headers::attempt),
        state.options.vm, monotonicMicroseconds() };
    return state.log.start(run);
}

asio::awaitable<void> pause(kernel::Duration length)
{
    asio::steady_timer timer { co_await asio::this_coro::executor };
    timer.expires_after(length.chrono());
    co_await timer.async_wait(asio::use_awaitable);
}

/** @return The answer, or nothing when the connection is to be closed without one. */
template <typename State>
asio::awaitable<std::optional<http::Response>> handle(std::shared_ptr<State> state, http::Request request)
{
    const auto behaviour = state->behaviour;
    const auto leaving = std::holds_alternative<Leaving>(*behaviour);
    constexpr std::uint32_t hundred = 100;
    const auto course = courseOf(*behaviour, state->random(hundred));
    std::optional<http::Response> response;
    if (request.target() == "/status") {
        response = status(request, state->running, leaving);
        co_return response;
    }
    if (course.end == Course::End::Silence) {
        // Longer than any deadline; the connection ends with the process.
        co_await pause({ 3600000 });
    }
    if (!course.runs) {
        co_return response;
    }
    const auto fault = faultOf(request.body());
    if (state->running >= state->options.slots || fault == "refuse") {
        response = refusal(request, leaving);
        co_return response;
    }
    const auto number = logStart(*state, request);
    ++state->running;
    const auto length = runTime(request.body()) * course.factor;
    if (length > kernel::Duration {}) {
        co_await pause(length);
    }
    --state->running;
    state->log.end(number, monotonicMicroseconds());
    if (course.end == Course::End::Answer) {
        auto body = course.fails ? "failing\n" : valueOf(request, headers::requestId) + "\n" + request.body();
        response = spoil(answer(request, course.fails ? 500 : 200, std::move(body), leaving), fault);
    }
    co_return response;
}

template <typename State> asio::awaitable<void> serve(std::shared_ptr<State> state, beast::tcp_stream stream)
{
    constexpr std::uint64_t bodyLimit = 4194304;
    beast::flat_buffer buffer;
    boost::system::error_code failed;
    ++state->open;
    while (!failed) {
        beast::http::request_parser<beast::http::string_body> parser;
        parser.body_limit(bodyLimit);
        co_await beast::http::async_read(
            stream, buffer, parser, asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            break;
        }
        auto response = co_await handle(state, parser.release());
        if (!response) {
            break;
        }
        co_await beast::http::async_write(
            stream, *response, asio::redirect_error(asio::use_awaitable, failed));
        if (!response->keep_alive()) {
            break;
        }
    }
    --state->open;
}

template <typename State> asio::awaitable<void> accept(std::shared_ptr<State> state)
{
    while (state->acceptor.is_open()) {
        boost::system::error_code failed;
        auto socket
            = co_await state->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failed));
        if (failed || state->open >= state->options.connections) {
            continue;
        }
        socket.set_option(tcp::no_delay(true), failed);
        asio::co_spawn(state->context, serve(state, beast::tcp_stream { std::move(socket) }), asio::detached);
    }
}

} // namespace

Upstream::Upstream(asio::io_context& context, const UpstreamOptions& options, RunLog& log)
    : state(new State { context, options, log, tcp::acceptor { context },
        std::make_shared<const Behaviour>(Healthy {}), pcg32 { options.seed } })
{
}

Upstream::~Upstream()
{
    boost::system::error_code ignored;
    this->state->acceptor.close(ignored);
}

kernel::Expected<std::string> Upstream::listen(const std::string& address)
{
    auto bound = http::listen(this->state->acceptor, address);
    if (bound) {
        asio::co_spawn(this->state->context, accept(this->state), asio::detached);
    }
    return bound;
}

void Upstream::behave(const Behaviour& next)
{
    this->state->behaviour = std::make_shared<const Behaviour>(next);
}

const std::string& Upstream::vm() const { return this->state->options.vm; }

} // namespace wasabiroad::standin
