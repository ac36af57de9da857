#include "wasabiroad/kernel/log.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad::kernel;

struct Row {
    const std::string value;
    const std::string line;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.line; }

const std::array rows {
    Row { "plain", "event=test key=plain" },
    Row { "", "event=test key=\"\"" },
    Row { "two words", "event=test key=\"two words\"" },
    Row { "a=b", "event=test key=\"a=b\"" },
    Row { "quote\"", "event=test key=\"quote\\\"\"" },
    Row { "line\nbreak", "event=test key=\"line\\x0abreak\"" },
};

/** Guards against values from callers that forge further fields or lines. */
BOOST_DATA_TEST_CASE(escapes_values, boost::unit_test::data::make(rows), row)
{
    BOOST_TEST(formatEvent("test", { { "key", row.value } }) == row.line);
}

} // namespace
