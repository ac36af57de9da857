#include "wasabiroad/http/message.hpp"

#include <array>
#include <ostream>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
using boost::beast::http::field;
using boost::beast::http::verb;

struct Row {
    const http::Request request;
    const std::string text;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.text; }

const std::array rows {
    Row { http::makeRequest(verb::get, "/key?of=a%20b"),
        "GET /key?of=a%20b HTTP/1.1\r\nHost: wasabiroad\r\n\r\n" },
    Row { http::makeJsonPost("/start", "{}"),
        "POST /start HTTP/1.1\r\nHost: wasabiroad\r\nContent-Length: 2\r\nContent-Type: "
        "application/json\r\n\r\n{}" },
    Row { http::makeRequest(verb::delete_, "/lease/7"),
        "DELETE /lease/7 HTTP/1.1\r\nHost: wasabiroad\r\n\r\n" },
};

/** Guards against requests that lose a field, their length or their body on the way out. */
BOOST_DATA_TEST_CASE(serialized_request_is_read_back, boost::unit_test::data::make(rows), row)
{
    const auto text = http::serialize(row.request);
    BOOST_TEST(text == row.text);
    boost::beast::http::request_parser<boost::beast::http::string_body> parser;
    parser.eager(true);
    boost::system::error_code failed;
    parser.put(boost::asio::buffer(text), failed);
    BOOST_TEST(!failed);
    BOOST_REQUIRE(parser.is_done());
    const auto read = parser.release();
    BOOST_TEST(read.method_string() == row.request.method_string());
    BOOST_TEST(read.target() == row.request.target());
    BOOST_TEST(read.body() == row.request.body());
    BOOST_TEST(read[field::content_type] == row.request[field::content_type]);
}

} // namespace
