#include "wasabiroad/agent/vacancy.hpp"

#include "wasabiroad/agent/site.hpp"

#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;

constexpr settings::VmCapacity large { 500, 200 };
constexpr settings::VmCapacity small { 120, 10 };

/** Maximum delay of any candidate: together with a lease of 2 s, takeovers stay well below 4 s. */
constexpr kernel::Duration maxDelay { 1500 };

/** Two candidates; the first must take a duty before the second. */
struct OrderRow {
    const char* title;
    const Candidate first;
    const Candidate second;

    friend std::ostream& operator<<(std::ostream& out, const OrderRow& row) { return out << row.title; }
};

const std::vector<OrderRow> orders {
    { "more capacity", { large, 0 }, { small, 0 } },
    { "more processor time", { { 500, 200 }, 0 }, { { 120, 200 }, 0 } },
    { "a faster link", { { 500, 200 }, 0 }, { { 500, 10 }, 0 } },
    { "fewer duties, large", { large, 0 }, { large, 1 } },
    { "fewer duties, small", { small, 0 }, { small, 1 } },
    { "more for each duty", { large, 2 }, { small, 0 } },
    { "many duties", { small, 0 }, { large, 20 } },
    { "a VM without a configured capacity", { {}, 0 }, { small, 0 } },
};

/** Guards against a duty that goes to a VM with less capacity than another candidate offers. */
BOOST_DATA_TEST_CASE(candidate_with_more_capacity_is_first, data::make(orders), row)
{
    std::int64_t vacant = 0;
    while (decideVacancy(row.first, { vacant }) != VacancyDecision { TakeDuty {} } && vacant < 10000) {
        ++vacant;
    }
    const auto decision = decideVacancy(row.second, { vacant });
    const auto* const defer = std::get_if<DeferDuty>(&decision);
    BOOST_REQUIRE(defer != nullptr);
    // Enough time for the second candidate to learn of the new owner from the store.
    BOOST_TEST(defer->remaining.milliseconds >= 60);
    const auto later = decideVacancy(row.second, kernel::Duration { vacant } + defer->remaining);
    BOOST_TEST((later == VacancyDecision { TakeDuty {} }));
}

/** A candidate that must take a duty within the maximum delay. */
struct LimitRow {
    const char* title;
    const Candidate candidate;

    friend std::ostream& operator<<(std::ostream& out, const LimitRow& row) { return out << row.title; }
};

const std::vector<LimitRow> limits {
    { "small", { small, 0 } },
    { "small with many duties", { small, 30 } },
    { "large with many duties", { large, 100 } },
    { "no capacity", { { 0, 0 }, 0 } },
};

/** Guards against a duty that stays vacant because all remaining candidates have little capacity. */
BOOST_DATA_TEST_CASE(every_candidate_takes_a_duty_within_the_maximum_delay, data::make(limits), row)
{
    BOOST_TEST((decideVacancy(row.candidate, maxDelay) == VacancyDecision { TakeDuty {} }));
}

/** Guards against duties on small VMs when all daemons start at the same time. */
BOOST_AUTO_TEST_CASE(duties_go_to_the_daemons_with_most_capacity)
{
    Site site { 0 };
    for (const auto& vm : { small, small, small, large, small, large }) {
        site.addDaemon(vm);
    }
    const std::set<std::string> larger { "entry-3", "entry-5" };
    const auto owners = [&] {
        std::set<std::string> names;
        for (const auto& entry : site.store.list("owner/").entries) {
            names.insert(entry.value.substr(0, entry.value.find('#')));
        }
        return names;
    };
    BOOST_REQUIRE(site.runUntil([&] { return site.store.list("owner/").entries.size() == 2; }));
    BOOST_TEST((owners() == larger));
    for (const std::size_t crashed : { 3, 5 }) {
        site.daemons[crashed]->agent->abandon();
    }
    BOOST_REQUIRE(site.runUntil([&] { return site.store.list("owner/").entries.empty(); }));
    BOOST_TEST(site.runUntil([&] { return owners().size() == 2; }));
    BOOST_TEST((owners() != larger));
}

} // namespace

} // namespace wasabiroad::agent::test
