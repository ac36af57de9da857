#include "wasabiroad/agent/keys.hpp"
#include "wasabiroad/agent/site.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;
using jobs::JobState;

/** What stops the work of an owner while the store renews its lease. */
struct Row {
    const char* title;
    const std::size_t daemons;
    const std::function<void(Site&, std::size_t)> cause;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

void raiseFences(Site& site, std::size_t)
{
    const auto term = site.store.find(keys::poolOwner(service))->created.value;
    for (const auto* const name : { "vm0", "vm1", "vm2", "vm3" }) {
        site.workers.raiseFence(name, term + 1);
    }
}

const std::vector<Row> rows {
    { "upstreams have seen a higher term", 2, raiseFences },
    { "upstreams have seen a higher term and no other daemon is there", 1, raiseFences },
    { "its key was removed without an event", 2,
        [](Site& site, std::size_t) { site.store.removeUnseen(keys::poolOwner(service)); } },
    { "its key was removed without an event and no other daemon is there", 1,
        [](Site& site, std::size_t) { site.store.removeUnseen(keys::poolOwner(service)); } },
    { "its renewals are carried out and not answered", 2,
        [](Site& site, std::size_t owner) {
            site.daemons[owner]->storeFaults->losesRenewals = true;
            // Until its lease may have ended, the owner goes on.
            site.runFor(2500);
        } },
    { "a list lacks its key once", 1,
        [](Site& site, std::size_t owner) {
            site.daemons[owner]->storeFaults->omittedPrefix = keys::owners;
            site.runFor(2600);
            site.daemons[owner]->storeFaults->omittedPrefix = {};
        } },
    { "the store answers none of its watches", 2,
        [](Site& site, std::size_t owner) { site.daemons[owner]->storeFaults->silentWatches = true; } },
};

/** Guards against a pool that stands because its owner has ended its work and keeps its lease (LOST). */
BOOST_DATA_TEST_CASE(pool_of_an_owner_without_progress_is_taken_over, data::make(rows), row)
{
    Site site { row.daemons };
    BOOST_REQUIRE(site.waitForOwner());
    const auto owner = *site.owner();
    const auto caller = row.daemons - 1 - owner;
    site.submit(makeJob("before", 50), caller);
    BOOST_REQUIRE(site.reaches("before", JobState::Completed, caller));
    row.cause(site, owner);
    site.submit(makeJob("after", 50), caller);
    BOOST_TEST(site.reaches("after", JobState::Completed, caller));
    BOOST_TEST(site.workers.broken().empty());
}

/** Guards against a wave that stands because the owner of the fleet duty was fenced and keeps its lease. */
BOOST_AUTO_TEST_CASE(wave_goes_on_after_its_owner_was_fenced)
{
    Site site { 2 };
    site.waves.push_back({ model::WaveId { "1" }, 1, { model::VmId { "vm0" } }, { 20000 }, 1 });
    BOOST_REQUIRE(site.runUntil([&] { return site.store.find(keys::owner(keys::fleetDuty)).has_value(); }));
    // Above the revisions of the next changes, one of which is the fence of the order.
    constexpr std::uint64_t lead = 20;
    site.workers.raiseFence("vm0", site.store.find(keys::owner(keys::fleetDuty))->created.value + lead);
    BOOST_TEST(site.runUntil([&] {
        const auto status = site.store.find("status/1");
        return status && status->value == "completed";
    }));
    BOOST_TEST(site.workers.maintained().size() == 1);
}

} // namespace

} // namespace wasabiroad::agent::test
