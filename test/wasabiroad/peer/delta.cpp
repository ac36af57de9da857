#include "wasabiroad/peer/delta.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace {

using namespace wasabiroad::peer;

struct Row {
    const std::string base;
    const std::string text;
    const std::size_t middle;
};

std::ostream& operator<<(std::ostream& stream, const Row& row)
{
    return stream << row.base << "-" << row.text;
}

const std::array rows {
    Row { "", "", 0 },
    Row { "", "abc", 3 },
    Row { "abc", "", 0 },
    Row { "abc", "abc", 0 },
    Row { "abcd", "abXd", 1 },
    Row { "aaa", "aaaa", 1 },
    Row { "aaaa", "aaa", 0 },
    Row { "xabc", "abc", 0 },
};

/** Guards against differences that overlap and against ones larger than the change. */
BOOST_DATA_TEST_CASE(restores_a_text, boost::unit_test::data::make(rows), row)
{
    const auto delta = makeDelta(row.base, row.text);
    BOOST_TEST(delta.middle.size() == row.middle);
    BOOST_TEST(applyDelta(row.base, delta).value() == row.text);
}

struct Beyond {
    const std::string label;
    const TextDelta delta;
};

std::ostream& operator<<(std::ostream& stream, const Beyond& row) { return stream << row.label; }

const std::array beyond {
    Beyond { "overlap", { 2, 2 } },
    Beyond { "prefix", { 4, 0 } },
    Beyond { "sum that wraps", { 0xffffffffU, 0xffffffffU } },
};

/** Guards against reads outside of the base. */
BOOST_DATA_TEST_CASE(rejects_a_delta_beyond_the_base, boost::unit_test::data::make(beyond), row)
{
    BOOST_TEST(!applyDelta("abc", row.delta));
}

/** Guards against any pair of texts whose difference does not restore the second. */
BOOST_AUTO_TEST_CASE(restores_any_text)
{
    BOOST_TEST(rc::check([](const std::string& base, const std::string& text) {
        return applyDelta(base, makeDelta(base, text)).value() == text;
    }));
}

} // namespace
