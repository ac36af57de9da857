#include "wasabiroad/traffic/claim.hpp"

#include <array>
#include <optional>
#include <ostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;

struct Row {
    const std::string name;
    /** @brief Value of the key before the claim; empty when it is absent. */
    const std::string stored;
    const traffic::ClaimResult expected;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.name; }

const std::array rows {
    Row { "absent", "", traffic::Claimed {} },
    Row { "own write whose answer was lost", "attempt-1", traffic::Claimed {} },
    Row { "other attempt", "attempt-2", traffic::ClaimedByOther {} },
};

/** Guards against two attempts that both believe to hold the claim. */
BOOST_DATA_TEST_CASE(claims_for_one_attempt_only, boost::unit_test::data::make(rows), row)
{
    const auto memory = std::make_shared<platform::MemoryStore>();
    const auto key = traffic::claimKey("order", "request-1");
    if (!row.stored.empty()) {
        BOOST_REQUIRE(memory->put(key, row.stored, 0));
    }
    boost::asio::io_context context;
    std::optional<traffic::ClaimResult> result;
    boost::asio::co_spawn(context,
        traffic::claim(platform::LocalStore { memory }, key, "attempt-1", { 1000 }),
        [&](const std::exception_ptr&, traffic::ClaimResult claimed) { result.emplace(claimed); });
    context.run();
    BOOST_REQUIRE(result);
    BOOST_TEST((*result == row.expected));
}

} // namespace
