#include "wasabiroad/agent/revision_clock.hpp"

#include <ostream>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;

/** A response of the store: the time at which its call was sent, and its revision. */
struct Response {
    const std::int64_t sent;
    const std::uint64_t revision;
};

/** Responses in the order of arrival, and the age at 10,000 ms of a view at revision 50. */
struct Row {
    const char* title;
    const std::vector<Response> responses;
    const std::optional<std::int64_t> age;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<Row> rows {
    { "no response", {}, std::nullopt },
    { "the only response has a later revision", { { 9000, 51 } }, std::nullopt },
    { "the view was complete when the call was sent", { { 9000, 50 } }, 1000 },
    { "the last response that the view includes determines the age",
        { { 8000, 40 }, { 9000, 50 }, { 9500, 60 } }, 1000 },
    { "an idle store does not make a view older", { { 8000, 50 }, { 9000, 50 }, { 9900, 50 } }, 100 },
    { "responses arrive out of order", { { 9500, 60 }, { 9000, 50 }, { 8000, 40 } }, 1000 },
    { "a call that was sent early and answered late", { { 9500, 50 }, { 8000, 70 } }, 500 },
    { "a later call names a lower revision", { { 8000, 70 }, { 9500, 45 } }, 500 },
    { "calls in quick succession", { { 9000, 50 }, { 9005, 55 }, { 9010, 60 } }, 1000 },
    { "old responses are discarded", { { 0, 50 }, { 9000, 60 }, { 10001, 70 } }, std::nullopt },
};

/** Guards against an age that is lower than the actual age of the view. */
BOOST_DATA_TEST_CASE(age_is_never_understated, data::make(rows), row)
{
    RevisionClock clock;
    for (const auto& response : row.responses) {
        clock.recordResponse({ response.sent }, { response.revision });
    }
    const auto age = clock.ageOf({ 50 }, { 10000 });
    BOOST_TEST(age.has_value() == row.age.has_value());
    if (age && row.age) {
        BOOST_TEST(age->milliseconds == *row.age);
    }
}

} // namespace

} // namespace wasabiroad::agent::test
