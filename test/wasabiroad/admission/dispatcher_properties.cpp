#include "wasabiroad/admission/dispatcher.hpp"
#include "wasabiroad/admission/site.hpp"

#include <map>
#include <ostream>
#include <set>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace {

using namespace wasabiroad;
using admission::Outcome;

constexpr std::uint32_t maxOvertakes = 3;

struct Row {
    const char* const name;
    const test::Site site;
    /** @brief Whether attempts may fail, so that retries, ejections and suspensions occur. */
    const bool faults;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.name; }

/** @brief Rows; the sites set the fields `upstreamsA`, `upstreamsB`, `slots` and `queue`. */
const std::vector<Row> rows {
    { "short first", { 2, 2, 3, model::ShortFirst { 12, maxOvertakes } }, false },
    { "short first with faults", { 4, 3, 2, model::ShortFirst { 12, maxOvertakes } }, true },
    { "first come, first served with faults", { 4, 3, 2, model::FirstComeFirstServed {} }, true },
};

/** @brief Makes random calls of a dispatcher and checks each decision against a model. */
class Checker {
public:
    explicit Checker(const Row& testedRow)
        : row(testedRow)
    {
        apply(this->dispatcher.update(test::snapshotOf(this->row.site), { this->time }));
    }

    /** Decodes a random number into a step of the clock (0 to 6 ms), a call and the parameter of the call. */
    void step(std::uint32_t draw)
    {
        this->time += draw % 7;
        const auto choice = (draw / 7) % 10;
        const auto parameter = draw / 70;
        if (choice < 5) {
            submit(parameter);
        } else if (choice < 8 && !this->running.empty()) {
            finish(parameter);
        } else if (choice == 8 && !this->waiting.empty()) {
            cancel(parameter);
        } else if (choice == 9 && parameter % 20 == 0) {
            update(parameter / 20 % 2 == 0);
        } else {
            apply(this->dispatcher.expire({ this->time }));
        }
        RC_ASSERT(this->dispatcher.queued() == this->waiting.size());
        RC_ASSERT(this->dispatcher.running() == this->running.size());
    }

    /**
     * The smaller site has one VM less in pool `a`. VMs are numbered across both pools, so those of pool `b`
     * get other names.
     */
    void update(bool smaller)
    {
        const auto& site = this->row.site;
        apply(this->dispatcher.update(test::snapshotOf({ site.upstreamsA - (smaller ? 1 : 0), site.upstreamsB,
                                          site.slots, site.queue }),
            { this->time }));
    }

    /** Ends all requests and fills all slots again, to find slots that were lost or counted twice. */
    void checkAllSlots()
    {
        update(false);
        while (!this->running.empty()) {
            const auto handle = this->running.begin()->first;
            this->running.erase(this->running.begin());
            apply(this->dispatcher.finish({ handle }, Outcome::Succeeded, { this->time }));
        }
        this->time += 1'000'000;
        apply(this->dispatcher.expire({ this->time }));
        RC_ASSERT(this->dispatcher.queued() == 0U);
        RC_ASSERT(this->dispatcher.running() == this->running.size());
        // Repeated successes end the probing of all ejected upstreams, so that all their slots can be
        // granted.
        for (std::uint32_t round = 0; round < 100; ++round) {
            for (std::uint32_t index = 0; index < 50; ++index) {
                submit(index % 2 == 0 ? 0 : 1);
            }
            if (round == 99) {
                break;
            }
            while (!this->running.empty()) {
                const auto handle = this->running.begin()->first;
                this->running.erase(this->running.begin());
                apply(this->dispatcher.finish({ handle }, Outcome::Succeeded, { this->time }));
            }
        }
        const auto& site = this->row.site;
        RC_ASSERT(this->running.size() == (site.upstreamsA + site.upstreamsB) * site.slots);
    }

private:
    struct SubmittedRequest {
        const bool isLong;
        const std::uint32_t service;
    };

    void submit(std::uint32_t parameter)
    {
        const bool isLong = parameter % 8 >= 5;
        const auto service = parameter % 2;
        const auto submission
            = this->dispatcher.submit({ .id = {},
                                          .service = model::ServiceId { service == 0 ? "one" : "two" },
                                          .operation = model::OperationId { isLong ? "render" : "check" },
                                          .deadline = { this->time + (parameter % 16 == 9 ? 40 : 500'000) },
                                          .idempotent = parameter % 3 != 0 },
                { this->time });
        this->waiting.emplace(submission.handle.value, SubmittedRequest { isLong, service });
        apply(submission.decisions);
    }

    void finish(std::uint32_t parameter)
    {
        constexpr Outcome outcomes[] { Outcome::Succeeded, Outcome::Failed, Outcome::Lost,
            Outcome::NotStarted };
        auto found = this->running.begin();
        std::advance(found, parameter % this->running.size());
        // An abandoned attempt changes no health, estimate or retry budget.
        const auto outcome = this->row.faults ? outcomes[parameter / 64 % 4] : Outcome::Abandoned;
        const auto handle = found->first;
        const auto vmAndRequest = found->second;
        this->running.erase(found);
        const auto decisions = this->dispatcher.finish({ handle }, outcome, { this->time });
        // `finish` queues a lost or unstarted request again; its decisions may already grant or refuse it.
        if (outcome == Outcome::Lost || outcome == Outcome::NotStarted) {
            this->waiting.emplace(handle, vmAndRequest.second);
        }
        apply(decisions);
    }

    void cancel(std::uint32_t parameter)
    {
        auto found = this->waiting.begin();
        std::advance(found, parameter % this->waiting.size());
        this->dispatcher.cancel({ found->first });
        this->waiting.erase(found);
    }

    void apply(const admission::Dispatcher::Decisions& decisions)
    {
        for (const auto& decision : decisions) {
            const auto handle = admission::handleOf(decision).value;
            const auto found = this->waiting.find(handle);
            RC_ASSERT(found != this->waiting.end());
            if (const auto* const grant = std::get_if<admission::Grant>(&decision)) {
                checkOvertakes(handle, found->second);
                this->running.emplace(handle, std::pair { grant->vm, found->second });
                const auto held = std::ranges::count_if(
                    this->running, [&](const auto& each) { return each.second.first == grant->vm; });
                RC_ASSERT(static_cast<std::uint32_t>(held) <= this->row.site.slots);
            }
            this->waiting.erase(found);
        }
    }

    /**
     * With faults, long requests wait for the delay before a retry, in which any number of short ones may be
     * granted.
     */
    void checkOvertakes(std::uint64_t handle, const SubmittedRequest& granted)
    {
        if (this->row.faults || granted.isLong) {
            return;
        }
        const auto oldest = std::ranges::find_if(this->waiting,
            [&](const auto& each) { return each.second.isLong && each.second.service == granted.service; });
        if (oldest != this->waiting.end() && oldest->first < handle) {
            RC_ASSERT(++this->overtaken[oldest->first] <= maxOvertakes);
        }
    }

    const Row& row;
    admission::Dispatcher dispatcher { 7 };
    std::int64_t time { 1'000'000 };
    std::map<std::uint64_t, SubmittedRequest> waiting {};
    std::map<std::uint64_t, std::pair<model::VmId, SubmittedRequest>> running {};
    std::map<std::uint64_t, std::uint32_t> overtaken {};
};

/**
 * Guards against a slot that is granted twice or lost, a request that is queued and running at the same time
 * or decided about twice, and a long request that is overtaken more often than the policy allows.
 */
BOOST_DATA_TEST_CASE(invariants_hold, boost::unit_test::data::make(rows), row)
{
    BOOST_TEST(rc::check(row.name, [&] {
        Checker checker { row };
        const auto draws
            = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::arbitrary<std::uint32_t>());
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        for (const auto draw : draws) {
            checker.step(draw);
        }
        // A run longer than rapidcheck's lists, from a seed that rapidcheck reports.
        pcg32 random { seed };
        for (int step = 0; step < 2000; ++step) {
            checker.step(random());
        }
        checker.checkAllSlots();
    }));
}

} // namespace
