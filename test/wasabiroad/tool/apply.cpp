#include "wasabiroad/tool/apply.hpp"

#include "wasabiroad/manifest/read.hpp"
#include "wasabiroad/tool/wait.hpp"

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
    /** Changes by other operators before this one. */
    const int earlier;
    const std::optional<model::Generation> planned;
    const ResultCode code;
    const std::uint64_t generation;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

const std::array rows {
    Row { "first manifest", 0, std::nullopt, ResultCode::Ok, 1 },
    Row { "planned against nothing", 0, model::Generation { 0 }, ResultCode::Ok, 1 },
    Row { "planned against the current one", 2, model::Generation { 2 }, ResultCode::Ok, 3 },
    Row { "another operator came first", 2, model::Generation { 1 }, ResultCode::GenerationConflict, 2 },
    Row { "a plan from the future", 1, model::Generation { 7 }, ResultCode::GenerationConflict, 1 },
};

/** Guards against a change that silently replaces one that its operator never saw. */
BOOST_DATA_TEST_CASE(applies_against_the_planned_generation, boost::unit_test::data::make(rows), row)
{
    const platform::Store store { platform::LocalStore { std::make_shared<platform::MemoryStore>() } };
    for (int change = 0; change < row.earlier; ++change) {
        BOOST_REQUIRE(tool::wait(tool::apply(store, "manifest " + std::to_string(change), std::nullopt)));
    }
    const auto applied = tool::wait(tool::apply(store, "mine", row.planned));
    BOOST_TEST(number(applied ? ResultCode::Ok : applied.error().code) == number(row.code));
    const auto stored = tool::wait(tool::readHead(store));
    BOOST_REQUIRE(stored);
    BOOST_TEST(stored->head.generation.value == row.generation);
    BOOST_TEST((stored->head.digest == manifest::digest("mine")) == (row.code == ResultCode::Ok));
}

} // namespace
