#include "wasabiroad/bench/summary.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad::bench;

struct Row {
    const std::string label;
    const Result result;
    const bool idempotent;
    const std::uint64_t runs;
    /** Expected counts: answered, refused, unknown, broken, lost, doubled, mixed up, false not-run. */
    const std::array<std::uint64_t, 8> counts;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

const std::array rows {
    Row { "answered", Answered { 200 }, false, 1, { 1, 0, 0, 0, 0, 0, 0, 0 } },
    Row { "idempotent retry", Answered { 200 }, true, 2, { 1, 0, 0, 0, 0, 0, 0, 0 } },
    Row { "doubled", Answered { 200 }, false, 2, { 1, 0, 0, 0, 0, 1, 0, 0 } },
    Row { "answer without a run", Answered { 200 }, true, 0, { 1, 0, 0, 0, 0, 0, 1, 0 } },
    Row { "refused", Refused { 306 }, true, 0, { 0, 1, 0, 0, 0, 0, 0, 0 } },
    Row { "false not-run", Refused { 306 }, true, 1, { 0, 1, 0, 0, 0, 0, 0, 1 } },
    Row { "unknown", Unknown { 312 }, false, 1, { 0, 0, 1, 0, 0, 0, 0, 0 } },
    Row { "unknown but doubled", Unknown { 312 }, false, 2, { 0, 0, 1, 0, 0, 1, 0, 0 } },
    Row { "broken", Broken {}, false, 1, { 0, 0, 0, 1, 0, 0, 0, 0 } },
    Row { "lost", Lost {}, true, 1, { 0, 0, 0, 0, 1, 0, 0, 0 } },
    Row { "mixed up", MixedUp {}, true, 1, { 0, 0, 0, 0, 0, 0, 1, 0 } },
};

/** Guards against a join that hides a lost, doubled or mixed-up request. */
BOOST_DATA_TEST_CASE(counts_each_kind_of_result, boost::unit_test::data::make(rows), row)
{
    const std::vector<UpstreamRun> runs(row.runs, UpstreamRun { "id", 3000, 5000 });
    const auto summary
        = summarise({ { "id", false, row.idempotent, 1000, 6000, row.result } }, runs, { 1000 });
    const std::array<std::uint64_t, 8> found { summary.answered, summary.refusedTotal(), summary.unknown,
        summary.broken, summary.lost, summary.doubled, summary.mixedUp, summary.falseNotRun };
    BOOST_TEST(found == row.counts, boost::test_tools::per_element());
    const auto& expected = row.counts;
    BOOST_TEST(summary.correct() == (expected[4] + expected[5] + expected[6] + expected[7] == 0));
    BOOST_TEST(summary.shortWaitP99 == (expected[0] == 1 && row.runs > 0 ? 2.0 : 0.0));
}

} // namespace
