#include "wasabiroad/tool/difference.hpp"

#include "wasabiroad/example.hpp"
#include "wasabiroad/manifest/read.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
using tool::ChangeKind;

struct Row {
    const std::string label;
    const std::string found;
    const std::string replacement;
    const std::vector<tool::Change> changes;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

const std::array rows {
    Row { "no change", "hallbach", "hallbach", {} },
    Row { "budget", "\"max-unavailable\": 2", "\"max-unavailable\": 1",
        { { ChangeKind::Changed, "service", "pour-sheet", "availability budget 2 to 1" } } },
    Row { "pool of a VM", "\"pool\": \"furnace\"", "\"pool\": \"office\"",
        { { ChangeKind::Changed, "vm", "vm-by-1-01",
            "home pool changes from furnace to office; the ledger moves it within the budgets" } } },
    Row { "renamed team", "\"id\": \"melt\"", "\"id\": \"ladle\"",
        { { ChangeKind::Removed, "team", "melt" }, { ChangeKind::Added, "team", "ladle" } } },
};

/** Guards against a plan that hides a change from the operator who reviews it. */
BOOST_DATA_TEST_CASE(lists_all_changes, boost::unit_test::data::make(rows), row)
{
    const auto text = test::example("hallbach.json");
    const auto current = manifest::read(text);
    const auto next = manifest::read(test::replaced(text, row.found, row.replacement));
    BOOST_REQUIRE(current);
    BOOST_REQUIRE(next);
    BOOST_TEST((tool::difference(*current, *next) == row.changes));
}

} // namespace
