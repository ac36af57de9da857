#include "wasabiroad/kernel/registry.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad::kernel;

struct Row {
    const std::string label;
    const std::vector<Plugin> plugins;
    const std::vector<std::string> order;
    const ResultCode code { ResultCode::Ok };
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

Plugin plugin(std::string name, std::vector<std::string> dependencies = {})
{
    return { .name = std::move(name), .version = { 1, 0 }, .dependencies = std::move(dependencies) };
}

const std::array rows {
    Row { "no plug-ins", {}, {} },
    Row { "dependency registered later", { plugin("b", { "a" }), plugin("a") }, { "a", "b" } },
    Row { "independent plug-ins by name", { plugin("c"), plugin("a"), plugin("b") }, { "a", "b", "c" } },
    Row { "diamond", { plugin("d", { "b", "c" }), plugin("c", { "a" }), plugin("b", { "a" }), plugin("a") },
        { "a", "b", "c", "d" } },
    Row { "duplicate name", { plugin("a"), plugin("a") }, {}, ResultCode::DuplicatePlugin },
    Row { "missing dependency", { plugin("a", { "x" }) }, {}, ResultCode::MissingDependency },
    Row { "cycle of two", { plugin("a", { "b" }), plugin("b", { "a" }) }, {}, ResultCode::DependencyCycle },
    Row { "dependency on itself", { plugin("a", { "a" }) }, {}, ResultCode::DependencyCycle },
};

/** Guards against a start order that ignores dependencies and against faults found only after the start. */
BOOST_DATA_TEST_CASE(orders_plugins_or_names_the_fault, boost::unit_test::data::make(rows), row)
{
    Registry registry;
    for (const auto& each : row.plugins) {
        registry.emplace(each);
    }
    const auto ordered = registry.order();
    if (row.code != ResultCode::Ok) {
        BOOST_REQUIRE(!ordered);
        BOOST_TEST(number(ordered.error().code) == number(row.code));
        return;
    }
    BOOST_REQUIRE(ordered);
    std::vector<std::string> names;
    for (const auto* each : *ordered) {
        names.push_back(each->name);
    }
    BOOST_TEST(names == row.order, boost::test_tools::per_element());
}

} // namespace
