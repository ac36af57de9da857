#include "wasabiroad/kernel/result_code.hpp"
#include "wasabiroad/kernel/command.hpp"

#include <ostream>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::kernel {

std::ostream& operator<<(std::ostream& stream, const ResultCodeInfo& row) { return stream << row.name; }

} // namespace wasabiroad::kernel

namespace {

using namespace wasabiroad::kernel;

const std::vector<ResultCodeInfo> rows { resultCodes().begin(), resultCodes().end() };

/** Guards against codes that share a name or an exit code, which a pipeline could not tell apart. */
BOOST_DATA_TEST_CASE(codes_are_distinct, boost::unit_test::data::make(rows), row)
{
    std::size_t sameName = 0;
    std::size_t sameExit = 0;
    for (const auto& other : resultCodes()) {
        sameName += other.name == row.name ? 1U : 0U;
        sameExit += exitCode(other.code) == exitCode(row.code) ? 1U : 0U;
    }
    BOOST_TEST(sameName == 1U);
    BOOST_TEST((number(row.code) / 100 == 3 || sameExit == 1U));
    BOOST_TEST((exitCode(row.code) >= 0 && exitCode(row.code) < 126));
    BOOST_TEST(name(row.code) == row.name);
}

} // namespace
