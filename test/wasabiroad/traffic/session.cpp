#include "wasabiroad/traffic/session.hpp"

#include <boost/test/unit_test.hpp>

namespace wasabiroad::traffic {

namespace {

/** Guards against a session that is destroyed with its stopped context, after the front end, and uses what
 * the front end owned. */
BOOST_AUTO_TEST_CASE(session_outlives_the_front_end)
{
    std::weak_ptr<ThreadState> observed;
    {
        boost::asio::io_context context { 1 };
        metrics::Metrics metrics;
        DispatchPort port { context, kernel::Clock { kernel::SteadyClock {} }, 1,
            TicketBook { model::EntryId { "entry" }, 1, TicketSecret {} } };
        const Environment environment { port, {}, kernel::Clock { kernel::SteadyClock {} }, {} };
        std::shared_ptr<ThreadState> thread { new ThreadState { .context = context,
            .pool = UpstreamPool { context },
            .metrics = RequestMetrics { metrics },
            .idPrefix = "test-" } };
        observed = thread;
        auto session = Session::create(boost::asio::ip::tcp::socket { context }, thread, environment);
        BOOST_TEST(thread->sessions == 1);
        // The end of the session is queued on the context, which never runs again.
        session.reset();
        thread.reset();
        BOOST_TEST(!observed.expired());
    }
    BOOST_TEST(observed.expired());
}

} // namespace

} // namespace wasabiroad::traffic
