#include "wasabiroad/maintenance/documents.hpp"

#include <array>
#include <iostream>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;

struct Row {
    const std::string label;
    const std::size_t vms;
    const std::size_t maxBytes;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

const std::array rows {
    Row { "empty", 0, 200 },
    Row { "17 VMs, the present size", 17, 4000 },
    Row { "560 VMs, the size planned in two years", 560, 100000 },
};

fleet::Ledger ledgerOf(std::size_t vms)
{
    std::map<model::VmId, fleet::VmRecord> records;
    for (std::size_t index = 0; index < vms; ++index) {
        const bool serving = index % 50 != 0;
        records.emplace(model::VmId { "vm-zone-1-" + std::to_string(1000 + index) },
            fleet::VmRecord { .pool = model::PoolId { "pool-" + std::to_string(index % 29) },
                .state = serving ? model::VmState::Serving : model::VmState::Drained,
                .reason = serving ? fleet::Reason::None : fleet::Reason::Move,
                .target = model::PoolId { serving ? "" : "pool-1" },
                .since = { 1796384549572 },
                .step = index + 1,
                .maintained = "four-weeks#12" });
    }
    const model::ServiceId service { "s" };
    const model::ZoneId other { "y" };
    return { model::ZoneId { "z" }, { 7 }, vms, std::move(records), { { service, 3 } },
        { { 4, { service, other } } }, { { { other, 9 }, { service, other } } }, { { other, 9 } } };
}

/** Guards against a member that is lost in the stored form, and against a ledger above the platform's size
 * limit. */
BOOST_DATA_TEST_CASE(restores_a_written_ledger, boost::unit_test::data::make(rows), row)
{
    const auto ledger = ledgerOf(row.vms);
    const auto text = maintenance::toText(ledger);
    const auto read = maintenance::parseLedger(text);
    BOOST_REQUIRE(read);
    BOOST_TEST((*read == ledger));
    std::cout << "ledger: " << row.vms << " VMs, " << text.size() << " bytes\n";
    BOOST_TEST(text.size() < row.maxBytes);
}

const std::array<std::string, 4> broken { "", "{}", "[1]", R"({"zone":1,"vms":{"a":{"state":"x"}}})" };

/** Guards against a daemon that terminates on a damaged document. */
BOOST_DATA_TEST_CASE(rejects_damaged_documents, boost::unit_test::data::make(broken), text)
{
    BOOST_TEST(!maintenance::parseLedger(text));
    BOOST_TEST(!maintenance::parseWaveProgress(text));
}

} // namespace
