#include "wasabiroad/agent/duties.hpp"

#include "wasabiroad/agent/site.hpp"

namespace wasabiroad::agent::test {

namespace {

/** @brief A store whose changes the test answers by hand. Its first lease has expired when it is renewed. */
struct ManualStore {
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

/** Guards against the loss of duties when a late answer says that an earlier lease has ended. */
BOOST_AUTO_TEST_CASE(answer_about_an_earlier_lease_changes_nothing)
{
    boost::asio::io_context context { 1 };
    ManualStore manualStore;
    const auto duties = std::make_shared<Duties>(context, manualStore.makeStore(), model::EntryId { "a" }, 1,
        settings::VmCapacity {}, DutyHandlers { [](const auto&, ports::Term) {}, [](const auto&) {} });
    duties->start();
    duties->setWanted({ "fleet" });
    const auto runUntil = [&](const auto& condition) {
        while (!condition()) {
            context.run_for(std::chrono::milliseconds { 5 });
        }
    };
    runUntil([&] { return manualStore.changes.size() == 1; });
    runUntil([&] { return manualStore.leases == 2; });
    manualStore.changes.front()(store::LeaseEnded {});
    BOOST_TEST(duties->isLeaseValid());
    context.run_for(std::chrono::milliseconds { 1200 });
    BOOST_TEST(manualStore.leases == 2);
    duties->abandon();
}

} // namespace

} // namespace wasabiroad::agent::test
