#include "wasabiroad/control/adopt.hpp"

#include "wasabiroad/example.hpp"
#include "wasabiroad/manifest/read.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
using kernel::ResultCode;

struct Row {
    const std::string label;
    /** Generation in force; 0 for none. */
    const std::uint64_t current;
    const std::uint64_t offered;
    const bool intact;
    const ResultCode code;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

const std::array rows {
    Row { "first generation", 0, 1, true, ResultCode::Ok },
    Row { "next generation", 1, 2, true, ResultCode::Ok },
    Row { "generations are skipped", 1, 9, true, ResultCode::Ok },
    Row { "the same generation", 2, 2, true, ResultCode::StaleGeneration },
    Row { "an older generation", 3, 2, true, ResultCode::StaleGeneration },
    Row { "text with another digest", 1, 2, false, ResultCode::DigestMismatch },
};

/** Guards against a return to an older configuration and against a text damaged in transit. */
BOOST_DATA_TEST_CASE(adopts_only_higher_intact_generations, boost::unit_test::data::make(rows), row)
{
    const auto text = test::example("hallbach.json");
    const auto digest = manifest::digest(text);
    control::ConfigurationPointer current;
    if (row.current > 0) {
        current = *control::adopt(nullptr, { { row.current }, digest }, text);
    }
    const auto adopted = control::adopt(current, { { row.offered }, digest }, row.intact ? text : text + " ");
    BOOST_TEST(number(adopted ? ResultCode::Ok : adopted.error().code) == number(row.code));
    if (adopted) {
        BOOST_TEST((*adopted)->generation.value == row.offered);
    }
}

} // namespace
