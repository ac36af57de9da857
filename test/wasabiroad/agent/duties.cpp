#include "wasabiroad/agent/duties.hpp"

#include "wasabiroad/agent/site.hpp"

namespace wasabiroad::agent::test {

namespace {

/** @brief A store whose answers to a change are given by hand; its first lease has ended when it is renewed.
 */
struct Calls {
    std::uint64_t leases { 0 };
    std::vector<store::Callback<store::ChangeOutcome>> changes {};

    std::shared_ptr<const store::Store> makeStore()
    {
        return std::make_shared<const store::Store>(store::Store {
            .read = {},
            .list =
                [](const std::string&, auto callback) {
                    callback(store::Listing { {}, { 1 } });
                },
            .watch = [](const std::string&, store::Revision, kernel::Duration, auto) {},
            .change
            = [this](const store::Change&, auto callback) { this->changes.push_back(std::move(callback)); },
            .grant =
                [this](kernel::Duration lifetime, auto callback) {
                    callback(store::Lease { { ++this->leases }, lifetime });
                },
            .renew = [](store::LeaseId lease, auto callback) { callback(lease.value > 1); },
            .end = {},
        });
    }
};

/** Guards against duties that are lost by a late answer about an earlier lease. */
BOOST_AUTO_TEST_CASE(answer_about_an_earlier_lease_changes_nothing)
{
    boost::asio::io_context context { 1 };
    Calls calls;
    const auto duties = std::make_shared<Duties>(context, calls.makeStore(), model::EntryId { "a" }, 1,
        settings::VmCapacity {}, DutyHandlers { [](const auto&, ports::Term) {}, [](const auto&) {} });
    duties->start();
    duties->want({ "fleet" });
    const auto runUntil = [&](const auto& condition) {
        while (!condition()) {
            context.run_for(std::chrono::milliseconds { 5 });
        }
    };
    runUntil([&] { return calls.changes.size() == 1; });
    runUntil([&] { return calls.leases == 2; });
    calls.changes.front()(store::LeaseEnded {});
    BOOST_TEST(duties->isLeaseValid());
    context.run_for(std::chrono::milliseconds { 1200 });
    BOOST_TEST(calls.leases == 2);
    duties->abandon();
}

} // namespace

} // namespace wasabiroad::agent::test
