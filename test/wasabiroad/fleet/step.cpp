#include "wasabiroad/fleet/step.hpp"

#include <algorithm>
#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace {

using namespace wasabiroad;
using fleet::ApplyEvent;
using fleet::Disrupt;
using fleet::Reason;
using fleet::Step;
using kernel::ResultCode;
using lifecycle::VmEvent;

const model::PoolId poolP { "p" };
const model::PoolId poolQ { "q" };
const model::ServiceId service { "s" };

model::Vm vmOf(std::string id, std::string zone, std::string rack, model::PoolId pool)
{
    return { .id = model::VmId { std::move(id) },
        .zone = model::ZoneId { std::move(zone) },
        .rack = model::RackId { std::move(rack) },
        .pool = std::move(pool) };
}

/** Two zones with four VMs of the pool p each, and one VM of the pool q that no service uses. */
model::Manifest manifestOf(std::uint32_t budget)
{
    return { .site = model::SiteId { "site" },
        .zones = { { model::ZoneId { "y" } }, { model::ZoneId { "z" } } },
        .pools = { { poolP }, { poolQ, true } },
        .vms = { vmOf("y1", "y", "ry", poolP), vmOf("y2", "y", "ry", poolP), vmOf("y3", "y", "ry", poolP),
            vmOf("y4", "y", "ry", poolP), vmOf("z1", "z", "r1", poolP), vmOf("z2", "z", "r1", poolP),
            vmOf("z3", "z", "r2", poolP), vmOf("z4", "z", "r2", poolP), vmOf("z5", "z", "r2", poolQ) },
        .services = { { .id = service, .pool = poolP, .maxUnavailable = budget } } };
}

const model::ZoneId zone { "z" };

Step drain(const char* vm, Reason reason = Reason::Operator, const model::PoolId& target = {})
{
    return Disrupt { model::VmId { vm }, reason, "cause", target };
}

Step advance(const char* vm, VmEvent event) { return ApplyEvent { model::VmId { vm }, event }; }

struct Row {
    const std::string label;
    const std::uint32_t budget;
    const std::vector<Step> before;
    const Step last;
    const ResultCode code;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

const std::array rows {
    Row { "within the share", 2, {}, drain("z1"), ResultCode::Ok },
    Row { "rejects a drain when the share is used up", 2, { drain("z1") }, drain("z2"),
        ResultCode::BudgetExhausted },
    Row { "a failure uses the share up", 2, { advance("z3", VmEvent::FailureDetected) }, drain("z1"),
        ResultCode::BudgetExhausted },
    Row { "a failure is recorded over the share", 2, { drain("z1") }, advance("z2", VmEvent::FailureDetected),
        ResultCode::Ok },
    Row { "rejects a drain in a zone without a share", 1, {}, drain("z1"), ResultCode::BudgetExhausted },
    Row { "pool without a service has no budget", 2, { drain("z1") }, drain("z5"), ResultCode::Ok },
    Row { "rejects a wave on two racks", 4, { drain("z1", Reason::Wave) }, drain("z3", Reason::Wave),
        ResultCode::BudgetExhausted },
    Row { "wave on one rack", 4, { drain("z1", Reason::Wave) }, drain("z2", Reason::Wave), ResultCode::Ok },
    Row { "operator beside a wave", 4, { drain("z1", Reason::Wave) }, drain("z3"), ResultCode::Ok },
    Row { "rejects a drain without the budget check", 2, {}, advance("z1", VmEvent::DrainRequested),
        ResultCode::TransitionNotAllowed },
    Row { "rejects an unknown VM", 2, {}, drain("y1"), ResultCode::UnknownVm },
    Row { "rejects a move of a VM that was drained by an operator", 2,
        { drain("z5"), advance("z5", VmEvent::WorkFinished) }, advance("z5", VmEvent::PoolChanged),
        ResultCode::TransitionNotAllowed },
    Row { "rejects a move into a pool with its share used up", 2,
        { drain("z1"), drain("z5", Reason::Move, poolP), advance("z5", VmEvent::WorkFinished) },
        advance("z5", VmEvent::PoolChanged), ResultCode::BudgetExhausted },
    Row { "move into a pool", 2, { drain("z5", Reason::Move, poolP), advance("z5", VmEvent::WorkFinished) },
        advance("z5", VmEvent::PoolChanged), ResultCode::Ok },
    Row { "rejects a drain on a lent share", 2, { fleet::LendShare { service, model::ZoneId { "y" } } },
        drain("z1"), ResultCode::BudgetExhausted },
    Row { "rejects lending a used share", 2, { drain("z1") },
        fleet::LendShare { service, model::ZoneId { "y" } }, ResultCode::BudgetExhausted },
    Row { "rejects a loan to another zone", 2, {},
        fleet::AcceptLoan { model::ZoneId { "y" }, { 1 }, 3, { service, model::ZoneId { "x" } } },
        ResultCode::StaleGeneration },
    Row { "rejects a loan that was accepted before", 2,
        { fleet::AcceptLoan { model::ZoneId { "y" }, { 1 }, 3, { service, zone } },
            fleet::ReturnCredit { { model::ZoneId { "y" }, 3 } } },
        fleet::AcceptLoan { model::ZoneId { "y" }, { 1 }, 3, { service, zone } },
        ResultCode::StaleGeneration },
    Row { "closes a returned loan", 2, { fleet::LendShare { service, model::ZoneId { "y" } } },
        fleet::CloseLoan { 3, { 1 }, 3, false }, ResultCode::Ok },
    Row { "rejects closing a loan by a ledger of a newer manifest, which has no credits of the older", 2,
        { fleet::LendShare { service, model::ZoneId { "y" } } }, fleet::CloseLoan { 3, { 2 }, 3, false },
        ResultCode::StaleGeneration },
    Row { "rejects raising shares before the other zones lowered theirs", 2, {},
        fleet::RaiseShares { { { model::ZoneId { "z" }, { 1 } } } }, ResultCode::StaleGeneration },
};

fleet::Ledger ledgerWithShares(const fleet::Layout& layout)
{
    const auto adopted
        = fleet::apply(fleet::emptyLedger(layout.zone), layout, Step { fleet::AdoptManifest {} }, {});
    std::map<model::ZoneId, model::Generation> seen;
    for (const auto& id : layout.zones) {
        seen.emplace(id, layout.generation);
    }
    return *fleet::apply(*adopted, layout, Step { fleet::RaiseShares { seen } }, {});
}

/** Guards against a disruption beyond the allowance, and against a share that is counted twice. */
BOOST_DATA_TEST_CASE(checks_each_step, boost::unit_test::data::make(rows), row)
{
    const auto layout = fleet::layoutOf(manifestOf(row.budget), { 1 }, zone);
    auto ledger = std::make_shared<const fleet::Ledger>(ledgerWithShares(layout));
    for (const auto& step : row.before) {
        const auto next = fleet::apply(*ledger, layout, step, { 5 });
        BOOST_REQUIRE(next);
        ledger = std::make_shared<const fleet::Ledger>(*next);
    }
    const auto next = fleet::apply(*ledger, layout, row.last, { 6 });
    BOOST_TEST(name(next ? ResultCode::Ok : next.error().code) == name(row.code));
    BOOST_TEST((!next || next->lastStep == ledger->lastStep + 1));
}

/** Three zones with outdated copies of each other's ledgers; manifests change the budget to 2, 3 or 1. */
class Zones {
public:
    void act(std::uint8_t actor, std::uint8_t other, std::uint8_t choice)
    {
        const auto& self = this->names.at(actor % 3);
        const auto& peer = this->names.at(other % 3);
        if (choice % 2 == 0) {
            this->views[self][peer] = this->ledgers.at(peer);
            return;
        }
        const auto& own = *this->ledgers.at(self);
        const auto& seen = *this->views[self].emplace(peer, this->ledgers.at(peer)).first->second;
        write(self, stepFor(own, self, seen, peer, choice / 2));
    }

    /** Sum of the allowances in the ledgers of all zones. */
    std::uint32_t allowed() const
    {
        std::uint32_t sum = 0;
        for (const auto& [id, ledger] : this->ledgers) {
            sum += fleet::allowance(*ledger, service);
        }
        return sum;
    }

    std::uint32_t largestBudget() const
    {
        std::uint32_t largest = 0;
        for (const auto& [id, ledger] : this->ledgers) {
            largest = std::max(largest, budgetOf(ledger->generation));
        }
        return largest;
    }

private:
    using Pointer = std::shared_ptr<const fleet::Ledger>;

    static std::uint32_t budgetOf(model::Generation generation)
    {
        constexpr std::array budgets { 2U, 3U, 1U };
        return budgets.at(generation.value % budgets.size());
    }

    static fleet::Layout layoutOf(const model::ZoneId& self, model::Generation generation)
    {
        const model::Manifest manifest { .site = model::SiteId { "site" },
            .zones = { { model::ZoneId { "x" } }, { model::ZoneId { "y" } }, { model::ZoneId { "z" } } },
            .pools = { { poolP } },
            .vms
            = { vmOf("x1", "x", "rx", poolP), vmOf("y1", "y", "ry", poolP), vmOf("z1", "z", "rz", poolP) },
            .services = { { .id = service, .pool = poolP, .maxUnavailable = budgetOf(generation) } } };
        return fleet::layoutOf(manifest, generation, self);
    }

    Step stepFor(const fleet::Ledger& own, const model::ZoneId& self, const fleet::Ledger& seen,
        const model::ZoneId& peer, std::uint8_t choice)
    {
        if (choice == 0) {
            this->target = { own.generation.value + 1 };
            return fleet::AdoptManifest {};
        }
        if (choice % 6 <= 1) {
            std::map<model::ZoneId, model::Generation> generations { { self, own.generation } };
            for (const auto& [id, view] : this->views[self]) {
                generations.emplace(id, view->generation);
            }
            return fleet::RaiseShares { generations };
        }
        if (choice % 6 == 2) {
            for (const auto& [number, loan] : seen.loans) {
                if (loan.to == self) {
                    return fleet::AcceptLoan { peer, seen.generation, number, loan };
                }
            }
        }
        if (choice % 6 == 3 && !own.credits.empty()) {
            return fleet::ReturnCredit { own.credits.begin()->first };
        }
        if (choice % 6 == 4 && !own.loans.empty() && own.loans.begin()->second.to == peer) {
            const auto number = own.loans.begin()->first;
            const auto redeemed = seen.redeemed.find(self);
            return fleet::CloseLoan { number, seen.generation,
                redeemed == seen.redeemed.end() ? 0 : redeemed->second,
                seen.credits.contains({ self, number }) };
        }
        return fleet::LendShare { service, peer };
    }

    void write(const model::ZoneId& self, const Step& step)
    {
        const auto& own = *this->ledgers.at(self);
        const auto generation
            = std::holds_alternative<fleet::AdoptManifest>(step) ? this->target : own.generation;
        const auto* const lend = std::get_if<fleet::LendShare>(&step);
        if (lend != nullptr && lend->to == self) {
            return;
        }
        if (const auto next = fleet::apply(own, layoutOf(self, generation), step, {})) {
            this->ledgers[self] = std::make_shared<const fleet::Ledger>(*next);
        }
    }

    const std::array<model::ZoneId, 3> names { model::ZoneId { "x" }, model::ZoneId { "y" },
        model::ZoneId { "z" } };
    model::Generation target {};
    std::map<model::ZoneId, Pointer> ledgers { initial("x"), initial("y"), initial("z") };
    std::map<model::ZoneId, std::map<model::ZoneId, Pointer>> views {};

    static std::pair<const model::ZoneId, Pointer> initial(const char* id)
    {
        const model::ZoneId name { id };
        return { name, std::make_shared<const fleet::Ledger>(ledgerWithShares(layoutOf(name, { 3 }))) };
    }
};

/** Guards against loans and manifest changes after which the allowances exceed the site's budget. */
BOOST_AUTO_TEST_CASE(shares_and_loans_never_exceed_the_budget)
{
    // Bytes over the full range: the values of rc::gen::arbitrary grow with the size of a test and would
    // rarely reach all steps.
    const auto byte
        = rc::gen::map(rc::gen::inRange(0, 256), [](int value) { return static_cast<std::uint8_t>(value); });
    BOOST_TEST(rc::check([&] {
        const auto actions
            = *rc::gen::container<std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>>(
                1000, rc::gen::tuple(byte, byte, byte));
        Zones zones;
        for (const auto& [actor, other, choice] : actions) {
            zones.act(actor, other, choice);
            RC_ASSERT(zones.allowed() <= zones.largestBudget());
        }
    }));
}

} // namespace
