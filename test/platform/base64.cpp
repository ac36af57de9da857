#include "platform/base64.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::platform {

namespace {

namespace data = boost::unit_test::data;

struct Row {
    const std::string bytes;
    const std::string text;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.text; }
};

const std::vector<Row> rows {
    { "", "" },
    { "a", "YQ==" },
    { "ab", "YWI=" },
    { "abc", "YWJj" },
    { std::string { "\0\xff\x10", 3 }, "AP8Q" },
};

/** Guards against values that other store clients cannot decode, and against wrongly decoded values. */
BOOST_DATA_TEST_CASE(value_is_base64_with_padding, data::make(rows), row)
{
    BOOST_TEST(toBase64(row.bytes) == row.text);
    BOOST_TEST((fromBase64(row.text) == row.bytes));
}

/** Guards against text that is not base64 being accepted as a value. */
BOOST_DATA_TEST_CASE(invalid_base64_is_rejected, data::make({ "a*b=", "\xff\xff" }), text)
{
    BOOST_TEST(!fromBase64(text).has_value());
}

} // namespace

} // namespace wasabiroad::platform
