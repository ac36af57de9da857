#include "wasabiroad/kernel/threads.hpp"

#include <functional>
#include <ostream>
#include <stdexcept>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::kernel {

namespace {

namespace data = boost::unit_test::data;

/** The thread whose handler fails, and what it throws. */
struct Row {
    const char* title;
    const bool onControl;
    const std::function<void()> fail;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const auto throwError = [] { throw std::out_of_range { "map::at" }; };
const auto throwNumber = [] { throw 7; };

const std::vector<Row> rows {
    { "error on the control thread", true, throwError },
    { "error on a traffic thread", false, throwError },
    { "number on the control thread", true, throwNumber },
    { "number on a traffic thread", false, throwNumber },
};

/** Guards against one unexpected error that ends the whole process. */
BOOST_DATA_TEST_CASE(handlers_go_on_after_one_has_thrown, data::make(rows), row)
{
    Threads threads { 1 };
    auto& context = row.onControl ? threads.control() : threads.traffic(0);
    int handled = 0;
    boost::asio::post(context, row.fail);
    boost::asio::post(context, [&] { ++handled; });
    boost::asio::post(context, row.fail);
    boost::asio::post(context, [&] {
        ++handled;
        boost::asio::post(threads.control(), [&] { threads.stop(); });
    });
    threads.run();
    BOOST_TEST(handled == 2);
}

} // namespace

} // namespace wasabiroad::kernel
