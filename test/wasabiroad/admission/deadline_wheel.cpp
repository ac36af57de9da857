#include "wasabiroad/admission/deadline_wheel.hpp"

#include <algorithm>
#include <map>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>

namespace {

using wasabiroad::admission::DeadlineWheel;

struct Row {
    const std::uint64_t seed;
    /** @brief Longest time between two calls of `advance`. */
    const std::int64_t maxStepMs;
    /** @brief Bound of the time until a deadline; some have passed already when they are added. */
    const std::int64_t maxDelayMs;
};

std::ostream& operator<<(std::ostream& stream, const Row& row)
{
    return stream << "seed " << row.seed << " step " << row.maxStepMs << " distance " << row.maxDelayMs;
}

const std::vector<Row> rows {
    { 1, 1, 10 },
    { 2, 10, 100 },
    { 3, 100, 5000 },
    { 4, 70, 1 },
    { 5, 5000, 300'000 },
    { 6, 1, 10'000'000'000 },
    { 7, 4'000'000'000, 10'000'000'000 },
};

/** Guards against deadlines that fire early, late, twice or after their removal. */
BOOST_DATA_TEST_CASE(matches_a_sorted_map, boost::unit_test::data::make(rows), row)
{
    pcg64 random { row.seed };
    const auto below = [&](std::int64_t bound) {
        return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(bound));
    };
    DeadlineWheel wheel;
    std::map<std::uint32_t, std::int64_t> expected;
    std::int64_t now = 1'700'000'000'000;
    for (std::uint32_t round = 0; round < 20'000; ++round) {
        const auto id = static_cast<std::uint32_t>(below(200));
        if (expected.erase(id) > 0) {
            wheel.remove(id);
        } else {
            const auto due = now - 5 + below(row.maxDelayMs + 5);
            expected.emplace(id, due);
            wheel.add(id, { due });
        }
        now += below(row.maxStepMs + 1);
        std::vector<std::uint32_t> expired;
        wheel.advance({ now }, expired);
        std::ranges::sort(expired);
        std::vector<std::uint32_t> expectedDue;
        for (const auto& [each, instant] : expected) {
            if (instant <= now) {
                expectedDue.push_back(each);
            }
        }
        std::erase_if(expected, [&](const auto& each) { return each.second <= now; });
        BOOST_REQUIRE(expired == expectedDue);
    }
}

} // namespace
