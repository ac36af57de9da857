#include "wasabiroad/integration/traffic_site.hpp"

#include "wasabiroad/http/endpoint.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;

/** Bytes of a caller and the code of the answer; an empty code means that the connection only closes. */
struct Row {
    const std::string name;
    const std::string bytes;
    const std::string code;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.name; }

std::string withHeader(const std::string& header, const std::string& body = "0")
{
    return "POST /services/SERVICE HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n" + header + "\r\n" + body;
}

std::string withTarget(const std::string& target)
{
    return "POST " + target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
}

const std::string post { "POST /services/SERVICE HTTP/1.1\r\nHost: a\r\n" };

const std::array rows {
    Row { "not HTTP", std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\r\n\r\n", 14), "304" },
    Row { "no version", "POST /services/SERVICE\r\n\r\n", "304" },
    Row { "unknown version", "POST /services/SERVICE HTTP/9.9\r\n\r\n", "304" },
    Row { "empty target", "POST  HTTP/1.1\r\n\r\n", "304" },
    Row { "header without colon", post + "Broken\r\n\r\n", "304" },
    Row { "header name with space", post + "Bro ken: 1\r\n\r\n", "304" },
    Row { "control character in a value", post + "A: \x01\r\n\r\n", "304" },
    Row { "header too large", post + "A: " + std::string(20000, 'x') + "\r\n\r\n", "304" },
    Row { "endless header", post + std::string(70000, 'x'), "304" },
    Row { "length is no number", post + "Content-Length: abc\r\n\r\n", "304" },
    Row { "negative length", post + "Content-Length: -1\r\n\r\n", "304" },
    Row { "two lengths", post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n0", "304" },
    Row { "length and chunks", post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "304" },
    Row { "length overflows", post + "Content-Length: 99999999999999999999\r\n\r\n", "304" },
    Row { "length over the limit", post + "Content-Length: 1048577\r\n\r\n", "305" },
    Row { "malformed chunk", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "304" },
    Row { "truncated body", post + "Content-Length: 10\r\n\r\n0", "" },
    Row { "truncated header", "POST /services/SERV", "" },
    Row { "id with spaces", withHeader("Wasabiroad-Request-Id: a b\r\n"), "304" },
    Row { "id too long", withHeader("Wasabiroad-Request-Id: " + std::string(129, 'x') + "\r\n"), "304" },
    Row { "deadline zero", withHeader("Wasabiroad-Deadline-Ms: 0\r\n"), "304" },
    Row { "deadline too large", withHeader("Wasabiroad-Deadline-Ms: 99999999999\r\n"), "304" },
    Row { "declared time is no number", withHeader("Wasabiroad-Declared-Ms: 1e3\r\n"), "304" },
    Row { "idempotent is no flag", withHeader("Wasabiroad-Idempotent: maybe\r\n"), "304" },
    Row { "contradictory flags",
        withHeader("Wasabiroad-Idempotent: true\r\nWasabiroad-Idempotent: false\r\n"), "304" },
    Row { "two tickets", withHeader("Wasabiroad-Ticket: a\r\nWasabiroad-Ticket: b\r\n"), "304" },
    Row { "no service", withTarget("/"), "304" },
    Row { "target too deep", withTarget("/services/a/b/c"), "304" },
    Row { "target of a proxy", withTarget("http://a/services/x/y"), "304" },
    Row { "unknown operation", withTarget("/services/KNOWN/none"), "302" },
};

std::string replace(std::string text, const std::string& from, const std::string& with)
{
    const auto found = text.find(from);
    return found == std::string::npos ? text : text.replace(found, from.size(), with);
}

/** Sends the bytes, ends the sending side and reads until the daemon closes. */
std::string talk(const std::string& address, const std::string& bytes)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket { context };
    socket.connect(*http::parseEndpoint(address));
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    std::string received;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), ignored);
    return received;
}

launch::Site* sharedSite(const test::Example& example)
{
    static std::map<std::string, std::unique_ptr<launch::Site>> sites;
    auto& site = sites[example.file];
    if (!site) {
        site = test::startSite(
            example, 1, R"({"limits": {"header-timeout-ms": 500, "idle-timeout-ms": 500}})");
    }
    return site.get();
}

/** Guards against malformed requests that run, hang, or end without their code. */
BOOST_DATA_TEST_CASE(refuses_malformed_requests,
    boost::unit_test::data::make(test::examples) * boost::unit_test::data::make(rows), example, row)
{
    auto* const site = sharedSite(example);
    BOOST_REQUIRE(site);
    const auto path = example.repeatable.substr(std::string { "/services/" }.size());
    const auto bytes = replace(replace(row.bytes, "SERVICE", path), "KNOWN", path.substr(0, path.find('/')));
    const auto received = talk(site->addresses(0).callers, bytes);
    if (row.code.empty()) {
        BOOST_TEST(received.empty());
    } else {
        BOOST_TEST(received.find("\r\nWasabiroad-Code: " + row.code + "\r\n") != std::string::npos, received);
        BOOST_TEST(received.find("\r\nWasabiroad-Outcome: not-run\r\n") != std::string::npos);
    }
    BOOST_TEST(test::runsOf(*site).empty());
}

/** Bytes after which a caller stays silent. */
const std::array silences {
    Row { "idle connection", "", "" },
    Row { "slow header", "POST /services/", "" },
    Row { "slow body", post + "Content-Length: 10\r\n\r\n0", "" },
};

/** Guards against callers that hold connections without sending; the daemon must close them. */
BOOST_DATA_TEST_CASE(closes_silent_connections,
    boost::unit_test::data::make(test::examples) * boost::unit_test::data::make(silences), example, row)
{
    auto* const site = sharedSite(example);
    BOOST_REQUIRE(site);
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket { context };
    socket.connect(*http::parseEndpoint(site->addresses(0).callers));
    boost::asio::write(socket, boost::asio::buffer(row.bytes));
    std::string received;
    boost::system::error_code ended;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), ended);
    BOOST_TEST(received.empty());
}

/** Guards against pipelined requests whose answers are lost, mixed up or out of order. */
BOOST_DATA_TEST_CASE(
    answers_pipelined_requests_in_order, boost::unit_test::data::make(test::examples), example)
{
    const auto site = test::startSite(example);
    BOOST_REQUIRE(site);
    std::string bytes;
    std::string expected;
    for (int index = 0; index < 20; ++index) {
        const auto id = "pipelined-" + std::to_string(index);
        bytes += "POST " + example.repeatable + " HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
            + (index == 19 ? "Connection: close\r\n" : "") + "Wasabiroad-Request-Id: " + id + "\r\n\r\n0";
        expected += id + "\n0";
    }
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket { context };
    socket.connect(*http::parseEndpoint(site->addresses(0).callers));
    boost::asio::write(socket, boost::asio::buffer(bytes));
    std::string received;
    boost::system::error_code ended;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), ended);
    std::string bodies;
    for (std::size_t begin = received.find("\r\n\r\n"); begin != std::string::npos;
         begin = received.find("\r\n\r\n", begin + 4)) {
        bodies += received.substr(begin + 4, received.find("HTTP/1.1", begin) - begin - 4);
    }
    BOOST_TEST(bodies == expected);
    BOOST_TEST(test::runsOf(*site).size() == 20U);
}

} // namespace
