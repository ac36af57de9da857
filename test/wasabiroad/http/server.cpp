#include "wasabiroad/http/server.hpp"

#include "wasabiroad/http/channel.hpp"
#include "wasabiroad/http/endpoint.hpp"
#include "wasabiroad/kernel/timer.hpp"

#include <algorithm>
#include <optional>
#include <ostream>
#include <stdexcept>
#include <vector>

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <sys/resource.h>
#include <unistd.h>

namespace wasabiroad::http::test {

namespace {

namespace asio = boost::asio;
namespace data = boost::unit_test::data;
using boost::beast::http::verb;
using kernel::Duration;

constexpr Duration patient { 20000 };

/** @brief Uses up the file descriptors of the process for as long as it lives. */
class NoDescriptors {
public:
    NoDescriptors()
    {
        constexpr rlim_t few = 128;
        getrlimit(RLIMIT_NOFILE, &this->before);
        const rlimit reduced { std::min(few, this->before.rlim_cur), this->before.rlim_max };
        setrlimit(RLIMIT_NOFILE, &reduced);
        for (auto copy = dup(0); copy >= 0; copy = dup(0)) {
            this->copies.push_back(copy);
        }
    }

    ~NoDescriptors()
    {
        for (const auto copy : this->copies) {
            close(copy);
        }
        setrlimit(RLIMIT_NOFILE, &this->before);
    }

    NoDescriptors(const NoDescriptors&) = delete;
    NoDescriptors& operator=(const NoDescriptors&) = delete;

private:
    rlimit before {};
    std::vector<int> copies {};
};

Handler answerEmpty()
{
    return [](Request request) -> asio::awaitable<Response> {
        co_return respond(request, 200, "text/plain", "");
    };
}

/** Guards against a server that spins while descriptors are used up, or accepts nothing afterwards. */
BOOST_AUTO_TEST_CASE(accepting_pauses_while_descriptors_are_used_up)
{
    asio::io_context context { 1 };
    Server server { context, answerEmpty() };
    const auto address = server.listen("127.0.0.1:0");
    BOOST_REQUIRE(address.has_value());
    asio::ip::tcp::socket caller { context };
    caller.connect(parseEndpoint(*address).value());
    asio::write(
        caller, asio::buffer(std::string { "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" }));
    {
        const NoDescriptors scope;
        constexpr std::size_t fewHandlers = 20;
        BOOST_TEST(context.run_for(std::chrono::milliseconds { 300 }) < fewHandlers);
    }
    std::string answer;
    asio::async_read(caller, asio::dynamic_buffer(answer),
        [&](const boost::system::error_code&, std::size_t) { context.stop(); });
    context.run_for(patient.chrono());
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
}

asio::awaitable<Response> loseCall()
{
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(Response)>(
        [](auto) {}, asio::use_awaitable);
}

/** A handler that does not answer, and the status that the caller receives; nothing for a closed connection.
 */
struct Row {
    const char* title;
    const Handler handler;
    const std::optional<unsigned> status;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<Row> rows {
    { "throws an error",
        [](const Request&) -> asio::awaitable<Response> {
            throw std::out_of_range { "map::at" };
            co_return Response {};
        },
        500 },
    { "throws a number",
        [](const Request&) -> asio::awaitable<Response> {
            throw 7;
            co_return Response {};
        },
        500 },
    { "throws before it can wait", [](const Request&) -> asio::awaitable<Response> { throw 7; }, 500 },
    { "is destroyed", [](const Request&) { return loseCall(); }, std::nullopt },
};

/** Guards against a drain that never ends since a request that failed still counts as in flight. */
BOOST_DATA_TEST_CASE(failed_handler_leaves_no_request_in_flight, data::make(rows), row)
{
    asio::io_context context { 1 };
    Server server { context, row.handler };
    const auto address = server.listen("127.0.0.1:0");
    BOOST_REQUIRE(address.has_value());
    Channel channel { context, parseEndpoint(*address).value() };
    std::optional<kernel::Expected<Response>> answer;
    channel.call(makeRequest(verb::get, "/"), patient, [&](kernel::Expected<Response> response) {
        answer.emplace(std::move(response));
        kernel::callLater(context, Duration { 10 }, [&] { context.stop(); });
    });
    context.run_for(patient.chrono());
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->has_value() == row.status.has_value());
    BOOST_TEST((!*answer || (**answer).result_int() == row.status));
    BOOST_TEST(server.inFlight() == 0U);
}

} // namespace

} // namespace wasabiroad::http::test
