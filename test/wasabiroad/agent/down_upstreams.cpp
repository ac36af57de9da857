#include "wasabiroad/agent/down_upstreams.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;
using ports::VmCondition;
using scheduling::UpstreamId;

ports::VmFacts makeVm(const std::string& name, VmCondition condition, const std::string& upstream)
{
    return { model::VmId { name }, model::ServiceId { "s" }, condition, UpstreamId { upstream } };
}

/** A list of VMs, and whether it shows that the upstream "u1" is down. */
struct Row {
    const char* title;
    const ports::VmListing listing;
    const bool isDown;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<Row> rows {
    { "its VM is up", { { makeVm("m1", VmCondition::Up, "u1") } }, false },
    { "its VM is down", { { makeVm("m1", VmCondition::Down, "") } }, true },
    { "its VM is in maintenance", { { makeVm("m1", VmCondition::Maintenance, "") } }, true },
    { "its VM runs another upstream", { { makeVm("m1", VmCondition::Up, "u2") } }, true },
    { "its VM is gone", { { makeVm("m2", VmCondition::Up, "u2") } }, true },
    { "a VM of the pool is up and names none",
        { { makeVm("m1", VmCondition::Up, ""), makeVm("m2", VmCondition::Up, "u2") } }, false },
    { "a VM that is not up names it", { { makeVm("m1", VmCondition::Down, "u1") } }, false },
    { "an entry could not be read", { { makeVm("m2", VmCondition::Up, "u2") }, false }, false },
    { "there are no VMs", {}, false },
};

/** Guards against tasks that start elsewhere while an upstream that is cut off still runs them. */
BOOST_DATA_TEST_CASE(only_an_upstream_that_no_vm_names_is_down, data::make(rows), row)
{
    const std::set<UpstreamId> unheard { UpstreamId { "u1" } };
    const auto down = findDownUpstreams(model::ServiceId { "s" }, unheard, row.listing);
    BOOST_TEST((down == (row.isDown ? unheard : std::set<UpstreamId> {})));
}

} // namespace

} // namespace wasabiroad::agent::test
