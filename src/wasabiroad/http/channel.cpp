#include "wasabiroad/http/channel.hpp"

#include "wasabiroad/http/endpoint.hpp"
#include "wasabiroad/http/transfer.hpp"
#include "wasabiroad/kernel/isolation.hpp"
#include "wasabiroad/kernel/timer.hpp"

#include <deque>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>

namespace wasabiroad::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using kernel::ResultCode;

namespace {

/** Longest time for a connection to open; the whole call may have less. */
constexpr kernel::Duration connectTimeout { 1000 };

/** Time to read a response that had begun to arrive when the time of its call was over. */
constexpr kernel::Duration extension { 100 };

/** Bounds the time for a response that trickles in. */
constexpr int extensionLimit = 10;

constexpr std::uint64_t responseLimit = 4ULL * 1024 * 1024;

/** Calls that may wait on one channel; more fail at once. */
constexpr std::size_t queueLimit = 512;

struct Call {
    Request request;
    kernel::Duration timeout;
    kernel::Instant deadline;
    /** The call waited behind no other, so its time begins when the thread gets to it. */
    bool first;
    Channel::Callback callback;
    Channel::Permission permission;
};

} // namespace

struct Channel::State : std::enable_shared_from_this<Channel::State> {
    State(asio::io_context& ioContext, asio::ip::tcp::endpoint server)
        : context(ioContext)
        , endpoint(std::move(server))
        , socket(context)
        , timer(context)
    {
    }

    kernel::Duration left(const Call& call) const
    {
        return call.deadline - kernel::now(kernel::SteadyClock {});
    }

    tl::unexpected<kernel::Error> failure(ResultCode code, std::string reason) const
    {
        return kernel::fail(code, toText(this->endpoint), std::move(reason));
    }

    /** Closes the socket after a time, unless the time is started again or ended before. */
    void startTime(kernel::Duration time)
    {
        this->timer.start(time, [self = shared_from_this()] { self->onTimeOver(); });
    }

    void onTimeOver()
    {
        boost::system::error_code ignored;
        // On a busy thread the timer may be handled before a response that has arrived in time.
        if (this->socket.available(ignored) > 0 && this->extensions < extensionLimit) {
            ++this->extensions;
            startTime(extension);
            return;
        }
        this->timedOut = true;
        disconnect();
    }

    void disconnect()
    {
        boost::system::error_code ignored;
        this->socket.close(ignored);
    }

    std::string reason(const boost::system::error_code& failed)
    {
        const bool late = std::exchange(this->timedOut, false);
        return (late ? make_error_code(beast::error::timeout) : failed).message();
    }

    asio::awaitable<boost::system::error_code> connect(const Call& call)
    {
        boost::system::error_code failed;
        if (this->socket.is_open()) {
            co_return failed;
        }
        this->buffer.clear();
        startTime(std::min(left(call), connectTimeout));
        co_await this->socket.async_connect(
            this->endpoint, asio::redirect_error(asio::use_awaitable, failed));
        this->timer.cancel();
        if (!failed) {
            boost::system::error_code ignored;
            this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        }
        co_return failed;
    }

    asio::awaitable<kernel::Expected<Response>> exchange(Call& call)
    {
        if (call.first) {
            call.deadline = kernel::now(kernel::SteadyClock {}) + call.timeout;
        }
        if (left(call).milliseconds <= 0) {
            co_return failure(ResultCode::CallNotTried, "waited too long for the connection");
        }
        if (const auto failed = co_await connect(call)) {
            disconnect();
            co_return failure(ResultCode::PlatformUnreachable, reason(failed));
        }
        if (left(call).milliseconds <= 0) {
            co_return failure(ResultCode::PlatformUnreachable, "connected too late");
        }
        if (call.permission && !call.permission()) {
            co_return failure(ResultCode::CallNotTried, "the permission to send the request has ended");
        }
        this->extensions = 0;
        startTime(left(call));
        auto response = co_await transfer(this->socket, this->buffer, call.request, responseLimit);
        this->timer.cancel();
        if (!response || !response->keep_alive()) {
            disconnect();
        }
        if (!response) {
            co_return failure(ResultCode::PlatformTimeout, reason(response.error()));
        }
        this->timedOut = false;
        co_return std::move(*response);
    }

    /** Exchanges a call; an exception, such as one of its permission, fails this call alone. */
    asio::awaitable<kernel::Expected<Response>> tryExchange(Call& call)
    {
        std::string thrown;
        try {
            co_return co_await exchange(call);
        } catch (const std::exception& exception) {
            thrown = exception.what();
        }
        this->timer.cancel();
        disconnect();
        co_return failure(ResultCode::PlatformTimeout, thrown);
    }

    /** Hands a result to the caller, whose exceptions must not end the work on the calls behind. */
    void complete(const Call& call, kernel::Expected<Response> result) const
    {
        kernel::runIsolated({ "server", toText(this->endpoint) }, [&] { call.callback(std::move(result)); });
    }

    asio::awaitable<void> work(std::shared_ptr<State> self)
    {
        while (!self->closed && !self->queue.empty()) {
            Call call = std::move(self->queue.front());
            self->queue.pop_front();
            auto result = co_await self->tryExchange(call);
            self->complete(call, std::move(result));
        }
        self->working = false;
        self->fail();
    }

    void fail()
    {
        while (this->closed && !this->queue.empty()) {
            auto call = std::move(this->queue.front());
            this->queue.pop_front();
            complete(call, failure(ResultCode::PlatformUnreachable, "the channel is closed"));
        }
    }

    asio::io_context& context;
    const asio::ip::tcp::endpoint endpoint;
    asio::ip::tcp::socket socket;
    kernel::Timer timer;
    /** @brief How often the time of the present call was extended. */
    int extensions { 0 };
    bool timedOut { false };
    beast::flat_buffer buffer {};
    std::deque<Call> queue {};
    bool working { false };
    bool closed { false };
};

bool isUnsent(const kernel::Error& error)
{
    return error.code == ResultCode::PlatformUnreachable || error.code == ResultCode::CallNotTried;
}

Channel::Channel(asio::io_context& context, asio::ip::tcp::endpoint endpoint)
    : state(std::make_shared<State>(context, std::move(endpoint)))
{
}

Channel::~Channel()
{
    if (this->state) {
        close();
    }
}

void Channel::call(Request request, kernel::Duration timeout, Callback callback, Permission permission)
{
    if (this->state->closed || this->state->queue.size() >= queueLimit) {
        asio::post(this->state->context, [callback = std::move(callback), state = this->state] {
            callback(state->failure(
                ResultCode::PlatformUnreachable, "the channel is closed or its queue is full"));
        });
        return;
    }
    request.keep_alive(true);
    this->state->queue.push_back({ std::move(request), timeout, kernel::now(kernel::SteadyClock {}) + timeout,
        !this->state->working, std::move(callback), std::move(permission) });
    if (!this->state->working) {
        this->state->working = true;
        asio::co_spawn(this->state->context, this->state->work(this->state), asio::detached);
    }
}

std::size_t Channel::load() const { return this->state->queue.size() + (this->state->working ? 1 : 0); }

void Channel::close()
{
    this->state->closed = true;
    this->state->disconnect();
}

} // namespace wasabiroad::http
