#include "wasabiroad/bench/make_manifest.hpp"

#include "wasabiroad/manifest/read.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;

struct Row {
    const bench::ManifestSize size;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.size.vms << " VMs"; }

const std::array rows {
    Row { {} },
    Row { { 500, 5, 6, 3, 1 } },
    Row { { 2800, 5, 29, 260, 2 } },
};

/** Guards against measurements with a manifest that daemons reject or that has another size. */
BOOST_DATA_TEST_CASE(makes_valid_manifests, boost::unit_test::data::make(rows), row)
{
    const auto manifest = manifest::read(bench::makeManifest(row.size));
    BOOST_REQUIRE(manifest);
    BOOST_TEST(manifest->vms.size() == row.size.vms);
    BOOST_TEST(manifest->zones.size() == row.size.zones);
    BOOST_TEST(manifest->pools.size() == row.size.pools);
    BOOST_TEST(manifest->teams.size() == row.size.teams);
}

} // namespace
