#include "wasabiroad/traffic/snapshot_progress.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

struct Report {
    const std::size_t thread;
    const std::uint64_t sequence;
};

struct Row {
    const std::string label;
    const std::size_t threads;
    const std::vector<Report> reports;
    /** Snapshots reported as in use by all threads, in order. */
    const std::vector<std::uint64_t> advances;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

const std::array rows {
    Row { "one thread", 1, { { 0, 1 }, { 0, 2 } }, { 1, 2 } },
    Row { "the slower thread decides", 2, { { 0, 1 }, { 0, 2 }, { 1, 1 }, { 1, 2 } }, { 1, 2 } },
    Row { "a thread skips a snapshot", 2, { { 0, 1 }, { 1, 3 }, { 0, 3 } }, { 1, 3 } },
    Row { "a thread never reports", 3, { { 0, 5 }, { 1, 5 } }, {} },
};

/** Guards against a configuration that is reported in force while a thread still decides by the old one. */
BOOST_DATA_TEST_CASE(snapshot_progress, boost::unit_test::data::make(rows), row)
{
    wasabiroad::traffic::SnapshotProgress progress { row.threads };
    std::vector<std::uint64_t> advances;
    for (const auto& report : row.reports) {
        if (const auto advanced = progress.report(report.thread, report.sequence)) {
            advances.push_back(*advanced);
        }
    }
    BOOST_TEST(advances == row.advances, boost::test_tools::per_element());
}

} // namespace
