#include "wasabiroad/standin/proxy.hpp"

#include "wasabiroad/http/endpoint.hpp"

#include <array>
#include <ostream>

#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
namespace asio = boost::asio;
using asio::ip::tcp;

/** How a client's connection ends, or that it stays open without an answer. */
enum class End : std::uint8_t { Closed, Reset, Refused, Silent };

struct Row {
    const std::string fault;
    const End end;
    /** Numbers of the answers that the client received, in order. */
    const std::string answers;
    const std::int64_t leastMs { 0 };
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.fault; }
std::ostream& operator<<(std::ostream& stream, End end) { return stream << static_cast<int>(end); }

const std::array rows {
    Row { "kind=none", End::Closed, "12" },
    Row { "kind=delay&ms=40", End::Closed, "12", 40 },
    Row { "kind=cut&bytes=10", End::Reset, "" },
    Row { "kind=truncate&bytes=20", End::Closed, "" },
    Row { "kind=black-hole", End::Silent, "" },
    Row { "kind=refuse", End::Refused, "" },
    Row { "kind=reset", End::Reset, "" },
    Row { "kind=half-open&lost=to-server", End::Silent, "" },
    Row { "kind=half-open&lost=to-client", End::Silent, "" },
    Row { "kind=partition&ms=60", End::Closed, "12", 60 },
    Row { "kind=duplicate", End::Closed, "1122" },
    Row { "kind=reorder&ms=20000", End::Closed, "21" },
    Row { "kind=random&seed=7&percent=0", End::Closed, "12" },
};

/** Answers each request with its target, and closes the connection with the second one. */
asio::awaitable<http::Response> echo(http::Request request)
{
    const std::string target { request.target() };
    auto response = http::respond(request, 200, "text/plain", "answer" + target);
    response.keep_alive(target != "/2");
    co_return response;
}

/** Collects what arrives on one connection until its end. */
struct Client {
    tcp::socket socket;
    std::string received {};
    std::array<char, 4096> piece {};
    std::optional<End> end {};

    void start(const tcp::endpoint& proxy)
    {
        this->socket.async_connect(proxy, [this](boost::system::error_code failed) {
            if (failed) {
                this->end = End::Refused;
                return;
            }
            const std::string requests
                = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n";
            boost::system::error_code ignored;
            asio::write(this->socket, asio::buffer(requests), ignored);
            read();
        });
    }

    void read()
    {
        this->socket.async_read_some(
            asio::buffer(this->piece), [this](boost::system::error_code failed, std::size_t size) {
                this->received.append(this->piece.data(), size);
                if (failed) {
                    this->end = failed == asio::error::eof ? End::Closed : End::Reset;
                    return;
                }
                read();
            });
    }

    std::string answers() const
    {
        std::string numbers;
        const std::string mark = "answer/";
        for (auto found = this->received.find(mark); found != std::string::npos;
             found = this->received.find(mark, found + 1)) {
            numbers += this->received.substr(found + mark.size(), 1);
        }
        return numbers;
    }
};

/** Guards against a fault that the proxy does not inject, so that a run under it proves nothing. */
BOOST_DATA_TEST_CASE(injects_each_kind_of_fault, boost::unit_test::data::make(rows), row)
{
    asio::io_context context { 1 };
    http::Server server { context, echo };
    const auto address = server.listen("127.0.0.1:0");
    BOOST_REQUIRE(address);
    standin::Proxy proxy { context, *http::parseEndpoint(*address) };
    const auto listener = proxy.listen("127.0.0.1:0");
    BOOST_REQUIRE(listener);
    // A fault's time runs from the moment that it is set.
    const auto begin = std::chrono::steady_clock::now();
    const auto set
        = proxy.answerAdmin(http::makeRequest(boost::beast::http::verb::put, "/fault?" + row.fault));
    BOOST_TEST(set.result_int() == 200U);

    Client client { tcp::socket { context } };
    client.start(*http::parseEndpoint(*listener));
    // A silent connection has no end; that its bytes were dropped shows that the fault was met.
    const auto over = [&] { return client.end || proxy.counts().droppedBytes > 0; };
    while (!(row.end == End::Silent ? over() : client.end.has_value())
        && std::chrono::steady_clock::now() - begin < std::chrono::seconds { 60 }) {
        context.run_one_for(std::chrono::seconds { 1 });
    }
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    BOOST_TEST(client.end.value_or(End::Silent) == row.end);
    BOOST_TEST(client.answers() == row.answers);
    BOOST_TEST((elapsed >= std::chrono::milliseconds { row.leastMs }));
}

const std::array<std::string, 2> unknown { "kind=slowly", "kind=" };

/** Guards against a misspelt fault that silently turns into none. */
BOOST_DATA_TEST_CASE(rejects_unknown_faults, boost::unit_test::data::make(unknown), query)
{
    const auto fault = standin::parseFault(*http::parseTarget("/fault?" + query));
    BOOST_REQUIRE(!fault);
    BOOST_TEST(static_cast<int>(fault.error().code) == static_cast<int>(kernel::ResultCode::ValueOutOfRange));
}

} // namespace
