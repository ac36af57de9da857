#include "wasabiroad/http/server.hpp"

#include "wasabiroad/http/endpoint.hpp"

#include <algorithm>
#include <vector>

#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <sys/resource.h>
#include <unistd.h>

namespace wasabiroad::http::test {

namespace {

namespace asio = boost::asio;
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

} // namespace

} // namespace wasabiroad::http::test
