#include "wasabiroad/agent/duties.hpp"

#include "wasabiroad/agent/keys.hpp"
#include "wasabiroad/agent/site.hpp"

namespace wasabiroad::agent::test {

namespace {

/**
 * @brief A store whose changes and watches the test answers by hand, and lists if it holds them. Its first
 * lease has expired when it is renewed.
 */
struct ManualStore {
    std::uint64_t leases { 0 };
    bool holdsLists { false };
    std::vector<store::Callback<store::ChangeOutcome>> changes {};
    std::vector<store::Callback<store::WatchOutcome>> watches {};
    std::vector<store::Callback<kernel::Expected<store::Listing>>> lists {};

    std::shared_ptr<const store::Store> makeStore()
    {
        return std::make_shared<const store::Store>(store::Store {
            .read = {},
            .list =
                [this](const std::string&, auto callback) {
                    if (this->holdsLists) {
                        this->lists.push_back(std::move(callback));
                    } else {
                        callback(store::Listing { {}, { 1 } });
                    }
                },
            .watch = [this](const std::string&, store::Revision, kernel::Duration,
                         auto callback) { this->watches.push_back(std::move(callback)); },
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

/** @brief Runs until a condition holds. @return Whether it did within `waitTimeout`. */
bool runUntil(boost::asio::io_context& context, const std::function<bool()>& condition)
{
    const auto end = kernel::now(kernel::SteadyClock {}) + waitTimeout;
    while (!condition() && kernel::now(kernel::SteadyClock {}) < end) {
        context.run_for(std::chrono::milliseconds { 5 });
    }
    return condition();
}

/** Guards against the loss of duties when a late answer says that an earlier lease has ended. */
BOOST_AUTO_TEST_CASE(answer_about_an_earlier_lease_changes_nothing)
{
    boost::asio::io_context context { 1 };
    ManualStore manualStore;
    const auto duties = std::make_shared<Duties>(context, manualStore.makeStore(), model::EntryId { "a" }, 1,
        settings::VmCapacity {},
        DutyHandlers { [](const auto&, ports::Term) {}, [](const auto&) {},
            [](const auto&) { return DutyHealth { DutyWorking {} }; } });
    duties->start();
    duties->setWanted({ "fleet" });
    BOOST_REQUIRE(runUntil(context, [&] { return manualStore.changes.size() == 1; }));
    BOOST_REQUIRE(runUntil(context, [&] { return manualStore.leases == 2; }));
    manualStore.changes.front()(store::LeaseEnded {});
    BOOST_TEST(duties->isLeaseValid());
    context.run_for(std::chrono::milliseconds { 1200 });
    BOOST_TEST(manualStore.leases == 2);
    duties->abandon();
}

/** Guards against a pool that stands because a late list revives a term that has ended (LOST). */
BOOST_AUTO_TEST_CASE(late_list_does_not_revive_a_lost_term)
{
    boost::asio::io_context context { 1 };
    ManualStore manualStore;
    std::vector<std::uint64_t> begun;
    const auto duties = std::make_shared<Duties>(context, manualStore.makeStore(), model::EntryId { "a" }, 1,
        settings::VmCapacity {},
        DutyHandlers { [&](const auto&, ports::Term term) { begun.push_back(term.value); },
            [](const auto&) {}, [](const auto&) { return DutyHealth { DutyWorking {} }; } });
    duties->start();
    duties->setWanted({ "fleet" });
    BOOST_REQUIRE(runUntil(context, [&] { return manualStore.changes.size() == 1; }));
    manualStore.holdsLists = true;
    manualStore.changes.front()(store::Committed { { 5 } });
    manualStore.watches.front()(kernel::Error { kernel::ResultCode::PlatformTimeout, "store", "no answer" });
    BOOST_REQUIRE(runUntil(context, [&] { return !manualStore.lists.empty() && manualStore.leases == 2; }));
    const store::Entry lost { keys::owner("fleet"), "a#1", { 5 }, { 5 } };
    manualStore.lists.front()(store::Listing { { lost }, { 6 } });
    BOOST_REQUIRE(runUntil(context, [&] { return manualStore.changes.size() == 2; }));
    manualStore.changes.back()(store::Committed { { 9 } });
    BOOST_TEST(begun == (std::vector<std::uint64_t> { 5, 9 }), boost::test_tools::per_element());
    duties->abandon();
}

/** Guards against a duty without an owner because a late conflict names one that is gone (LOST). */
BOOST_AUTO_TEST_CASE(late_conflict_does_not_hide_a_vacancy)
{
    boost::asio::io_context context { 1 };
    ManualStore manualStore;
    const auto duties = std::make_shared<Duties>(context, manualStore.makeStore(), model::EntryId { "a" }, 1,
        settings::VmCapacity {},
        DutyHandlers { [](const auto&, ports::Term) {}, [](const auto&) {},
            [](const auto&) { return DutyHealth { DutyWorking {} }; } });
    duties->start();
    duties->setWanted({ "fleet" });
    BOOST_REQUIRE(runUntil(context, [&] { return manualStore.changes.size() == 1; }));
    manualStore.holdsLists = true;
    const store::Entry other { keys::owner("fleet"), "b#1", { 3 }, { 3 } };
    manualStore.watches.front()(store::KeyEvents { { other, store::Removed { other.key, { 4 } } }, { 4 } });
    manualStore.changes.front()(store::Conflict { { other } });
    BOOST_TEST(runUntil(context, [&] { return manualStore.changes.size() == 2; }));
    duties->abandon();
}

} // namespace

} // namespace wasabiroad::agent::test
