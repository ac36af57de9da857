#include "wasabiroad/manifest/read.hpp"

#include "wasabiroad/example.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
using kernel::ResultCode;

using test::example;

struct Broken {
    const std::string label;
    const std::string found;
    const std::string replacement;
    const ResultCode code;
    const std::string where;
};

std::ostream& operator<<(std::ostream& stream, const Broken& row) { return stream << row.label; }

const std::array broken {
    Broken {
        "unknown key", "\"version\": 1,", "\"version\": 1, \"colour\": 1,", ResultCode::SchemaViolation, "" },
    Broken { "wrong version", "\"version\": 1,", "\"version\": 2,", ResultCode::SchemaViolation, "/version" },
    Broken { "missing site", "\"site\": \"hallbach\",", "", ResultCode::SchemaViolation, "" },
    Broken { "not JSON", "\"version\": 1,", "\"version\": 1", ResultCode::InvalidJson, "" },
    Broken { "zero slots", "\"slots\": 8", "\"slots\": 0", ResultCode::SchemaViolation, "/vms/0/slots" },
    Broken { "text for a number", "\"cores\": 16", "\"cores\": \"16\"", ResultCode::SchemaViolation,
        "/vms/0/cores" },
    Broken { "unknown pool of a VM", "\"pool\": \"furnace\"", "\"pool\": \"foundry\"",
        ResultCode::UnknownReference, "/vms/0/pool" },
    Broken { "duplicate VM", "vm-by-2-01", "vm-by-1-01", ResultCode::DuplicateIdentifier, "/vms/1/id" },
    Broken { "rack in two zones", "rack-by-2-1", "rack-by-1-1", ResultCode::ValueOutOfRange, "/vms/1/rack" },
    Broken { "budget of the whole pool", "\"max-unavailable\": 2", "\"max-unavailable\": 10",
        ResultCode::ValueOutOfRange, "/services/0/max-unavailable" },
    Broken {
        "weights over 100", "\"waiting\": 50", "\"waiting\": 51", ResultCode::ValueOutOfRange, "/weights" },
    Broken { "host name as address", "127.11.1.1:8080", "localhost:8080", ResultCode::SchemaViolation,
        "/vms/0/address" },
};

/** Guards against a manifest that is accepted with a fault, and against errors without their place. */
BOOST_DATA_TEST_CASE(rejects_broken_manifests, boost::unit_test::data::make(broken), row)
{
    const auto text = test::replaced(example("hallbach.json"), row.found, row.replacement);
    BOOST_REQUIRE(!text.empty());
    const auto manifest = manifest::read(text);
    BOOST_REQUIRE(!manifest);
    bool listed = false;
    for (const auto& error : manifest.error()) {
        listed = listed || (error.code == row.code && error.where == row.where);
    }
    BOOST_TEST(listed);
}

const std::array<std::string, 2> examples { "hallbach.json", "accord-labs.json" };

/** Guards against examples that no longer have the sizes of the sites. */
BOOST_DATA_TEST_CASE(accepts_the_examples, boost::unit_test::data::make(examples), name)
{
    const auto manifest = manifest::read(example(name));
    BOOST_REQUIRE(manifest);
    BOOST_TEST(manifest->services.size() == 5U);
    BOOST_TEST(manifest->vms.size() == 52U);
}

} // namespace
