#include "wasabiroad/agent/revision_clock.hpp"

#include <ostream>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;

/** An answer of the store: when its call was sent, and the revision that it names. */
struct Answer {
    const std::int64_t sent;
    const std::uint64_t revision;
};

/** Answers in the order of their arrival, and the age at 10,000 ms of a view up to revision 50. */
struct Row {
    const char* title;
    const std::vector<Answer> answers;
    const std::optional<std::int64_t> age;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<Row> rows {
    { "nothing is known", {}, std::nullopt },
    { "the store was ahead all the while", { { 9000, 51 } }, std::nullopt },
    { "the view was complete when the call was sent", { { 9000, 50 } }, 1000 },
    { "the last answer that the view covers counts", { { 8000, 40 }, { 9000, 50 }, { 9500, 60 } }, 1000 },
    { "an idle store does not make a view older", { { 8000, 50 }, { 9000, 50 }, { 9900, 50 } }, 100 },
    { "answers overtake each other", { { 9500, 60 }, { 9000, 50 }, { 8000, 40 } }, 1000 },
    { "a call that was sent early and answered late", { { 9500, 50 }, { 8000, 70 } }, 500 },
    { "a later call names a lower revision", { { 8000, 70 }, { 9500, 45 } }, 500 },
    { "answers that come together", { { 9000, 50 }, { 9005, 55 }, { 9010, 60 } }, 1000 },
    { "old answers are forgotten", { { 0, 50 }, { 9000, 60 }, { 10001, 70 } }, std::nullopt },
};

/** Guards against a view that is taken for younger than it is. */
BOOST_DATA_TEST_CASE(age_is_never_understated, data::make(rows), row)
{
    RevisionClock clock;
    for (const auto& answer : row.answers) {
        clock.note({ answer.sent }, { answer.revision });
    }
    const auto age = clock.ageOf({ 50 }, { 10000 });
    BOOST_TEST(age.has_value() == row.age.has_value());
    if (age && row.age) {
        BOOST_TEST(age->milliseconds == *row.age);
    }
}

} // namespace

} // namespace wasabiroad::agent::test
