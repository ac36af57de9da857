#include "wasabiroad/admission/dispatcher.hpp"
#include "wasabiroad/admission/site.hpp"
#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>
#include <iterator>
#include <optional>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
using admission::Outcome;
using test::Site;

/** @brief Submits requests; they are numbered from 1 in order of submission. */
struct Submit {
    const char* const service { "one" };
    const char* const operation { "check" };
    const std::int64_t deadlineAfter { 100'000 };
    const char* const team { "" };
    const bool idempotent { true };
    const int times { 1 };
};

struct Finish {
    const int request;
    const Outcome outcome { Outcome::Succeeded };
};

/** @brief Advances the time and calls `expire` every 10 ms; granted attempts end with `outcome`, if set. */
struct Advance {
    const std::int64_t milliseconds;
    const std::optional<Outcome> outcome {};
};

/** @brief Submits requests one after another; each attempt ends at once. */
struct RunEach {
    const int times;
    const char* const operation;
    const Outcome outcome;
};

/** @brief Marks an upstream as leaving. */
struct MarkLeaving {
    const char* const vm;
};

/** @brief Applies a snapshot in which upstream `a0` is accepting requests or not. */
struct ApplySnapshot {
    const bool accepting;
};

struct CancelQueued { };
struct RefuseAll { };

using Step
    = std::variant<Submit, Finish, Advance, RunEach, MarkLeaving, ApplySnapshot, CancelQueued, RefuseAll>;

struct Row {
    const char* const failure;
    const Site site;
    const std::vector<Step> steps;
    /** @brief Decisions in order, as request number and grant reason or code, without those of `RunEach`. */
    const std::string decisions;
    const std::size_t queued { 0 };
    const std::size_t running { 0 };
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.failure; }

class Scenario {
public:
    explicit Scenario(const Site& initialSite)
        : site(initialSite)
    {
        (*this)(ApplySnapshot { true });
    }

    void operator()(const Submit& step)
    {
        for (int time = 0; time < step.times; ++time) {
            record(submit(step).decisions);
        }
    }
    void operator()(const Finish& step)
    {
        const auto handle = this->handles.at(static_cast<std::size_t>(step.request) - 1);
        record(this->dispatcher.finish(handle, step.outcome, now()));
    }
    void operator()(const Advance& step)
    {
        for (const auto end = this->time + step.milliseconds; this->time < end; this->time += 10) {
            auto decisions = this->dispatcher.expire(now());
            record(decisions);
            while (step.outcome && !decisions.empty()) {
                admission::Dispatcher::Decisions following;
                for (const auto& decision : decisions) {
                    auto more = this->dispatcher.finish(admission::handleOf(decision), *step.outcome, now());
                    record(more);
                    std::ranges::move(more, std::back_inserter(following));
                }
                decisions.swap(following);
            }
        }
    }
    void operator()(const RunEach& step)
    {
        for (int time = 0; time < step.times; ++time) {
            const auto submission = submit({ .operation = step.operation });
            this->handles.pop_back();
            this->dispatcher.finish(submission.handle, step.outcome, now());
        }
    }
    void operator()(const MarkLeaving& step) { this->dispatcher.leaving(model::VmId { step.vm }); }
    void operator()(const ApplySnapshot& step)
    {
        record(this->dispatcher.update(test::snapshotOf(this->site, step.accepting), now()));
    }
    void operator()(const CancelQueued&)
    {
        for (const auto handle : this->handles) {
            this->dispatcher.cancel(handle);
        }
    }
    void operator()(const RefuseAll&) { record(this->dispatcher.refuseAll(kernel::ResultCode::Stopping)); }

    std::string trace {};
    admission::Dispatcher dispatcher { 1 };

private:
    kernel::Instant now() const { return { this->time }; }

    admission::Dispatcher::Submission submit(const Submit& step)
    {
        auto submission = this->dispatcher.submit({ .id = {},
                                                      .service = model::ServiceId { step.service },
                                                      .operation = model::OperationId { step.operation },
                                                      .team = model::TeamId { step.team },
                                                      .deadline = { this->time + step.deadlineAfter },
                                                      .idempotent = step.idempotent },
            now());
        this->handles.push_back(submission.handle);
        return submission;
    }

    void record(const admission::Dispatcher::Decisions& decisions)
    {
        for (const auto& decision : decisions) {
            const auto found = std::ranges::find(this->handles, admission::handleOf(decision));
            if (found == this->handles.end()) {
                continue;
            }
            const auto number = std::to_string(found - this->handles.begin() + 1);
            const auto text = std::visit(
                kernel::Overloaded {
                    [](const admission::Grant& grant) { return grant.reason; },
                    [](const admission::Refusal& refusal) { return std::string { name(refusal.code) }; },
                    [](const admission::Unresolved& unresolved) {
                        return "unresolved-" + std::string { name(unresolved.code) };
                    },
                },
                decision);
            this->trace.append(this->trace.empty() ? "" : " ").append(number).append(":").append(text);
        }
    }

    const Site site;
    std::int64_t time { 1'000'000 };
    std::vector<admission::Handle> handles {};
};

constexpr Submit check {};
constexpr Submit render { .operation = "render" };
constexpr Submit owner { .service = "two" };
constexpr Submit ownerRender { .service = "two", .operation = "render" };
constexpr Submit limitedRequest { .team = "limited" };

const std::vector<Row> rows {
    { "a short request waits behind a long one that arrived before it", {},
        { check, render, check, Finish { 1 } }, "1:own-pool 3:own-pool", 1, 1 },
    { "first come, first served lets a request overtake", { .queue = model::FirstComeFirstServed {} },
        { check, render, check, Finish { 1 } }, "1:own-pool 2:own-pool", 1, 1 },
    { "a long request starves behind short ones", { .queue = model::ShortFirst { 12, 1 } },
        { check, render, check, check, Finish { 1 }, Finish { 3 } }, "1:own-pool 3:own-pool 2:own-pool", 1,
        1 },
    { "long work takes the last slot although short work arrives", { .slots = 4 },
        { check, Finish { 1 }, render, render, render, render, check },
        "1:own-pool 2:own-pool 3:own-pool 4:own-pool 6:own-pool", 1, 4 },
    { "slots stay reserved although no short work arrives", { .slots = 4 },
        { check, Finish { 1 }, render, render, render, render, Advance { 1100 } },
        "1:own-pool 2:own-pool 3:own-pool 4:own-pool 5:own-pool", 0, 4 },
    { "a short request that overruns leaves the reserved slot to long work", { .slots = 3 },
        { check, check, Advance { 1000 }, check, Finish { 3 }, render }, "1:own-pool 2:own-pool 3:own-pool",
        1, 2 },
    { "a request that no VM can run is queued", {}, { Submit { .operation = "huge" } }, "1:never-runnable" },
    { "a request that cannot start in time is queued until its deadline", {},
        { render, Submit { .operation = "render", .times = 2 },
            Submit { .operation = "render", .deadlineAfter = 2500 } },
        "1:own-pool 4:deadline-unreachable", 2, 1 },
    { "the queue exceeds its bound", { .queueBound = 2 }, { check, check, check, check },
        "1:own-pool 4:queue-full", 2, 1 },
    { "a request stays queued after its deadline", {},
        { check, Submit { .deadlineAfter = 50 }, Advance { 100 } }, "1:own-pool 2:deadline-exceeded", 0, 1 },
    { "idle slots of a lender are not used", { .upstreamsB = 1 }, { check, check, check },
        "1:own-pool 2:borrowed", 1, 2 },
    { "a borrower keeps a slot that the owner waits for", { .upstreamsB = 1 },
        { check, check, check, owner, Finish { 2 } }, "1:own-pool 2:borrowed 4:own-pool", 1, 2 },
    { "long work of an owner keeps short work of a borrower waiting", { .upstreamsB = 1 },
        { check, check, ownerRender, check, Finish { 2 } }, "1:own-pool 2:borrowed 4:borrowed", 1, 2 },
    { "borrowed slots do not count against the bound of the owner's long work",
        { .upstreamsB = 1, .queue = model::ShortFirst { 12, 1 } },
        { check, check, ownerRender, check, check, Finish { 2 }, Finish { 4 } },
        "1:own-pool 2:borrowed 4:borrowed 3:own-pool", 1, 2 },
    { "a team at its share takes slots from others", {},
        { limitedRequest, limitedRequest, check, Finish { 1, Outcome::Abandoned } }, "1:own-pool 2:own-pool",
        1, 1 },
    { "a team at its share is served before others", { .slots = 2 },
        { limitedRequest, check, limitedRequest, check, Finish { 2 } }, "1:own-pool 2:own-pool 4:own-pool", 1,
        2 },
    { "idle slots are kept from a team at its share", { .slots = 2 }, { limitedRequest, limitedRequest },
        "1:own-pool 2:own-pool", 0, 2 },
    { "a share is rounded down to nothing", { .slots = 2, .entries = 8 },
        { check, check, limitedRequest, check, Finish { 1 } }, "1:own-pool 2:own-pool 3:own-pool", 1, 2 },
    { "a lost request that must not run twice is tried again", {},
        { Submit { .idempotent = false }, Finish { 1, Outcome::Lost } },
        "1:own-pool 1:unresolved-outcome-unknown" },
    { "a lost idempotent request is not tried again", {},
        { check, Finish { 1, Outcome::Lost }, Advance { 100 } }, "1:own-pool 1:own-pool", 0, 1 },
    { "a lost request whose deadline has passed is tried again", {},
        { Submit { .deadlineAfter = 50 }, Advance { 100 }, Finish { 1, Outcome::Lost } },
        "1:own-pool 1:unresolved-deadline-exceeded" },
    { "a retry starts without a delay", {}, { check, Finish { 1, Outcome::NotStarted } }, "1:own-pool", 1,
        0 },
    { "a request that may have run is refused as not run", { .retryPercent = 0 },
        { RunEach { 5, "check", Outcome::Lost }, Advance { 1000, Outcome::Abandoned }, check,
            Finish { 1, Outcome::Lost } },
        "1:own-pool 1:unresolved-outcome-unknown" },
    { "retries exceed their budget", { .retryPercent = 0 },
        { RunEach { 5, "check", Outcome::Lost }, Advance { 1000, Outcome::Abandoned }, check,
            Finish { 1, Outcome::Lost }, Advance { 1000, Outcome::Abandoned } },
        "1:own-pool 1:unresolved-outcome-unknown" },
    { "a request that did not start is refused for the retry budget", { .retryPercent = 0 },
        { RunEach { 3, "check", Outcome::NotStarted }, Advance { 1000, Outcome::Abandoned }, check,
            Finish { 1, Outcome::NotStarted } },
        "1:own-pool", 1, 0 },
    { "an operation that fails on all upstreams gets them ejected", { .upstreamsA = 9 },
        { RunEach { 60, "check", Outcome::Succeeded }, RunEach { 9, "render", Outcome::Failed },
            RunEach { 60, "check", Outcome::Succeeded }, RunEach { 30, "render", Outcome::Failed }, render,
            Submit { .times = 9 } },
        "1:operation-suspended 2:own-pool 3:own-pool 4:own-pool 5:own-pool 6:own-pool 7:own-pool 8:own-pool "
        "9:own-pool 10:own-pool",
        0, 9 },
    { "a suspension never ends", { .upstreamsA = 9 },
        { RunEach { 9, "render", Outcome::Failed }, RunEach { 60, "check", Outcome::Succeeded },
            RunEach { 30, "render", Outcome::Failed }, Advance { 6000 }, render, render, Finish { 1 },
            render },
        "1:own-pool 2:operation-suspended 3:own-pool", 0, 1 },
    { "more than a third of a pool is ejected", { .upstreamsA = 3 },
        { RunEach { 60, "check", Outcome::NotStarted }, Advance { 100, Outcome::Abandoned },
            Submit { .times = 3 } },
        "1:own-pool 2:own-pool", 1, 2 },
    { "an ejected upstream gets no probe, or more than one at a time", { .upstreamsA = 3, .slots = 2 },
        { RunEach { 60, "check", Outcome::NotStarted }, Advance { 5000, Outcome::Abandoned },
            Submit { .times = 6 } },
        "1:own-pool 2:own-pool 3:own-pool 4:own-pool 5:own-pool", 1, 5 },
    { "a leaving upstream gets work before a snapshot shows that it leaves", {},
        { MarkLeaving { "a0" }, check, ApplySnapshot { true } }, "", 1, 0 },
    { "an upstream that accepts requests again stays marked as leaving", {},
        { MarkLeaving { "a0" }, check, ApplySnapshot { false }, ApplySnapshot { true } }, "1:own-pool", 0,
        1 },
    { "cancelled requests stay in the queue", {},
        { check, Submit { .times = 1000 }, CancelQueued {}, Finish { 1 } }, "1:own-pool" },
    { "a shutdown leaves requests queued", {}, { check, check, render, RefuseAll {} },
        "1:own-pool 2:stopping 3:stopping", 0, 1 },
};

BOOST_DATA_TEST_CASE(decisions, boost::unit_test::data::make(rows), row)
{
    Scenario scenario { row.site };
    for (const auto& step : row.steps) {
        std::visit(scenario, step);
    }
    BOOST_TEST(scenario.trace == row.decisions);
    BOOST_TEST(scenario.dispatcher.queued() == row.queued);
    BOOST_TEST(scenario.dispatcher.running() == row.running);
}

} // namespace
