#include "wasabiroad/standin/upstream.hpp"

#include "wasabiroad/traffic/headers.hpp"

#include <charconv>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wasabiroad::standin {

namespace asio = boost::asio;
namespace headers = traffic::headers;

namespace {

boost::beast::string_view view(std::string_view text) { return { text.data(), text.size() }; }

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

} // namespace

Upstream::Upstream(asio::io_context& ioContext, UpstreamBehaviour initial, RunLog& runLog)
    : context(ioContext)
    , behaviour(std::make_shared<const UpstreamBehaviour>(std::move(initial)))
    , log(runLog)
    , server(ioContext, [this](http::Request request) { return handle(std::move(request)); })
{
}

http::Response Upstream::answer(const http::Request& request, unsigned status, std::string body) const
{
    auto response = http::respond(request, status, "text/plain", std::move(body));
    response.set(view(headers::attempt), valueOf(request, headers::attempt));
    if (this->behaviour->leaving) {
        response.set(view(headers::leaving), "yes");
    }
    return response;
}

asio::awaitable<http::Response> Upstream::handle(http::Request request)
{
    if (request.target() == "/status") {
        co_return http::respond(request, 200, "application/json",
            "{\"running\":" + std::to_string(this->running)
                + ",\"leaving\":" + (this->behaviour->leaving ? "true" : "false") + "}");
    }
    if (this->running >= this->behaviour->slots) {
        auto response = answer(request, 503, "no free slot\n");
        response.set(view(headers::started), "no");
        co_return response;
    }
    this->log.emplace_back(Run {
        valueOf(request, headers::requestId), valueOf(request, headers::attempt), this->behaviour->vm });
    if (this->behaviour->failing) {
        co_return answer(request, 500, "failing\n");
    }
    ++this->running;
    asio::steady_timer timer { this->context };
    timer.expires_after(runTime(request.body()).chrono());
    co_await timer.async_wait(asio::use_awaitable);
    --this->running;
    co_return answer(request, 200, valueOf(request, headers::requestId) + "\n" + request.body());
}

} // namespace wasabiroad::standin
