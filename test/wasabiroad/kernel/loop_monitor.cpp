#include "wasabiroad/kernel/loop_monitor.hpp"

#include <optional>
#include <ostream>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

namespace data = boost::unit_test::data;
using namespace wasabiroad;
using kernel::Duration;

/** How long an event occupies the thread, and the delay that must be seen at least. */
struct Row {
    const Duration busy;
    const Duration least;

    friend std::ostream& operator<<(std::ostream& out, const Row& row)
    {
        return out << "busy for " << row.busy.milliseconds << " ms";
    }
};

const std::vector<Row> rows { { { 0 }, { 0 } }, { { 400 }, { 200 } } };

void occupy(Duration time)
{
    const auto before = kernel::processorTime();
    while (kernel::processorTime() - before < time) { }
}

/** Guards against a busy control thread that no metric shows. */
BOOST_DATA_TEST_CASE(busy_thread_shows_in_the_delay, data::make(rows), row)
{
    boost::asio::io_context context { 1 };
    std::optional<kernel::LoopSample> sample;
    auto monitor = std::make_shared<kernel::LoopMonitor>(context, [&](const kernel::LoopSample& taken) {
        sample.emplace(taken);
        context.stop();
    });
    monitor->start();
    kernel::callLater(context, { 150 }, [&] { occupy(row.busy); });
    context.run_for(std::chrono::seconds { 30 });
    BOOST_REQUIRE(sample.has_value());
    BOOST_TEST(sample->delay.milliseconds >= row.least.milliseconds);
    BOOST_TEST(sample->processor.milliseconds >= row.least.milliseconds);
    BOOST_TEST(sample->interval.milliseconds >= 1000);
    monitor->stop();
}

} // namespace
