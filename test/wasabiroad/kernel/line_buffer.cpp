#include "wasabiroad/kernel/line_buffer.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad::kernel;

struct Row {
    const std::size_t bound;
    const std::size_t pushed;
    const LineBatch taken;
};

std::ostream& operator<<(std::ostream& stream, const Row& row)
{
    return stream << row.pushed << " lines, bound " << row.bound;
}

const std::array rows {
    Row { 3, 0, { "", 0 } },
    Row { 3, 1, { "0\n", 0 } },
    Row { 3, 3, { "0\n1\n2\n", 0 } },
    Row { 3, 4, { "1\n2\n3\n", 1 } },
    Row { 3, 8, { "5\n6\n7\n", 5 } },
    Row { 1, 2, { "1\n", 1 } },
};

/** Guards against lines out of order, beyond the bound, or dropped without being counted. */
BOOST_DATA_TEST_CASE(keeps_the_newest_lines_in_order, boost::unit_test::data::make(rows), row)
{
    LineBuffer buffer { row.bound };
    for (std::size_t line = 0; line < row.pushed; ++line) {
        buffer.push(std::to_string(line) + "\n");
    }
    BOOST_TEST(buffer.empty() == (row.pushed == 0));
    BOOST_TEST((buffer.take() == row.taken));
    BOOST_TEST(buffer.empty());
    BOOST_TEST((buffer.take() == LineBatch {}));
}

} // namespace
