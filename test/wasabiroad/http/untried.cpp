#include "wasabiroad/http/channel.hpp"

#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::http::test {

namespace {

namespace asio = boost::asio;
namespace data = boost::unit_test::data;

constexpr kernel::Duration timeout { 50 };

/** What is at the address of a channel, and what becomes of two calls that are queued together. */
struct CallsRow {
    const char* title;
    /** @brief Connections are accepted and never answered; otherwise they are refused. */
    const bool listens;
    const bool secondIsUntried;

    friend std::ostream& operator<<(std::ostream& out, const CallsRow& row) { return out << row.title; }
};

const std::vector<CallsRow> rows {
    { "the first call takes all the time", true, true },
    { "the connection is refused", false, false },
};

/** Guards against a call that waited for another being taken for a sign of the server. */
BOOST_DATA_TEST_CASE(call_that_only_waited_is_untried, data::make(rows), row)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor { context, { asio::ip::address_v4::loopback(), 0 } };
    const auto endpoint = acceptor.local_endpoint();
    if (!row.listens) {
        acceptor.close();
    }
    Channel channel { context, endpoint };
    std::vector<kernel::Error> errors;
    for (int call = 0; call < 2; ++call) {
        channel.call(makeJsonPost("/", "{}"), timeout, [&](const kernel::Expected<Response>& response) {
            BOOST_REQUIRE(!response);
            errors.push_back(response.error());
        });
    }
    context.run();
    BOOST_REQUIRE_EQUAL(errors.size(), 2);
    BOOST_TEST((errors.front().code != kernel::ResultCode::CallNotTried));
    BOOST_TEST((errors.back().code == kernel::ResultCode::CallNotTried) == row.secondIsUntried);
    BOOST_TEST(isUnsent(errors.back()));
}

} // namespace

} // namespace wasabiroad::http::test
