#include "wasabiroad/settings/settings.hpp"

#include "wasabiroad/example.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
using kernel::ResultCode;

struct Row {
    const std::string label;
    const settings::Overrides overrides;
    const ResultCode code { ResultCode::Ok };
    const std::string where {};
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

const std::array rows {
    Row { "example as it is", {} },
    Row { "nested override", { { "/limits/body-bytes", "2048" } } },
    Row { "text override", { { "/entry", "entry-by-1-b" } } },
    Row { "unknown member", { { "/colour", "1" } }, ResultCode::SchemaViolation, "" },
    Row { "no threads", { { "/traffic-threads", "0" } }, ResultCode::SchemaViolation, "/traffic-threads" },
    Row { "host name", { { "/callers", "localhost:80" } }, ResultCode::SchemaViolation, "/callers" },
    Row { "wrong type", { { "/limits", "3" } }, ResultCode::SchemaViolation, "/limits" },
    Row { "tiny header limit", { { "/limits/header-bytes", "1" } }, ResultCode::SchemaViolation,
        "/limits/header-bytes" },
    Row { "no pointer", { { "entry", "a" } }, ResultCode::InvalidArguments, "entry" },
    Row { "member of a text", { { "/entry/name", "a" } }, ResultCode::InvalidArguments, "/entry/name" },
    Row { "capacity of the VM", { { "/vm", R"({"cores":0.12,"link-mbps":10.0})" } } },
    Row { "VM without processor time", { { "/vm", R"({"cores":0})" } }, ResultCode::SchemaViolation,
        "/vm/cores" },
    Row { "access to a fleet", { { "/fleet", R"({"readiness":"127.0.0.1:1","vms":"127.0.0.1:2"})" } } },
    Row { "fleet without its readiness listener", { { "/fleet", R"({"vms":"127.0.0.1:2"})" } },
        ResultCode::SchemaViolation, "/fleet" },
    Row { "task lease too short",
        { { "/fleet", R"({"readiness":"127.0.0.1:1","vms":"127.0.0.1:2","task-lease-ms":10})" } },
        ResultCode::SchemaViolation, "/fleet/task-lease-ms" },
    Row { "upper case identifier", { { "/zone", "BY-1" } }, ResultCode::SchemaViolation, "/zone" },
};

/** Guards against settings that are accepted with a fault, and against overrides that skip the checks. */
BOOST_DATA_TEST_CASE(checks_settings_and_overrides, boost::unit_test::data::make(rows), row)
{
    const auto settings = settings::read(test::example("settings.json"), row.overrides);
    if (row.code == ResultCode::Ok) {
        BOOST_TEST(settings.has_value());
        return;
    }
    BOOST_REQUIRE(!settings);
    bool listed = false;
    for (const auto& error : settings.error()) {
        listed = listed || (error.code == row.code && error.where == row.where);
    }
    BOOST_TEST(listed);
}

} // namespace
