#include "wasabiroad/kernel/timer.hpp"

#include <memory>
#include <ostream>
#include <thread>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

namespace data = boost::unit_test::data;
using namespace wasabiroad;
using kernel::Duration;
using kernel::Timer;

/** Longer than any test. */
constexpr Duration never { 600000 };

/** What becomes of a timer whose time is over, before its function is called. */
struct Row {
    const char* title;
    const std::function<void(std::unique_ptr<Timer>&)> change;
    const int calls;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<Row> rows {
    { "nothing", [](std::unique_ptr<Timer>&) {}, 1 },
    { "it is started again", [](std::unique_ptr<Timer>& timer) { timer->start(never, [] {}); }, 0 },
    { "it is cancelled", [](std::unique_ptr<Timer>& timer) { timer->cancel(); }, 0 },
    { "it is destroyed", [](std::unique_ptr<Timer>& timer) { timer.reset(); }, 0 },
};

/** Guards against a function that is called though its timer was started again, cancelled or destroyed. */
BOOST_DATA_TEST_CASE(changed_timer_does_not_call, data::make(rows), row)
{
    boost::asio::io_context context { 1 };
    Timer first { context };
    auto second = std::make_unique<Timer>(context);
    int calls = 0;
    first.start({ 1 }, [&] { row.change(second); });
    second->start({ 2 }, [&] { ++calls; });
    // Both times are over before the first function is called.
    std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
    context.poll();
    BOOST_TEST(calls == row.calls);
}

} // namespace
