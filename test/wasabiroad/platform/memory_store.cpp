#include "wasabiroad/platform/memory_store.hpp"

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
    /** Puts that come before; each replaces any version. */
    const int earlierPuts;
    const std::optional<std::uint64_t> ifVersion;
    const ResultCode code;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

const std::array rows {
    Row { "create an absent key", 0, 0, ResultCode::Ok },
    Row { "create an existing key", 1, 0, ResultCode::VersionConflict },
    Row { "swap the current version", 2, 2, ResultCode::Ok },
    Row { "swap an old version", 2, 1, ResultCode::VersionConflict },
    Row { "swap an absent key", 0, 1, ResultCode::VersionConflict },
    Row { "replace any version", 2, std::nullopt, ResultCode::Ok },
};

/** Guards against a compare-and-swap that lets two writers win. */
BOOST_DATA_TEST_CASE(compares_versions, boost::unit_test::data::make(rows), row)
{
    platform::MemoryStore store;
    for (int put = 0; put < row.earlierPuts; ++put) {
        BOOST_REQUIRE(store.put("key", "earlier", std::nullopt));
    }
    const auto written = store.put("key", "new", row.ifVersion);
    BOOST_TEST(number(written ? ResultCode::Ok : written.error().code) == number(row.code));
    const auto entry = store.get("key");
    BOOST_TEST((entry && entry->value == "new") == (row.code == ResultCode::Ok));
}

struct LeaseRow {
    const std::string label;
    const std::int64_t renewedAt;
    const std::int64_t readAt;
    const bool present;
};

std::ostream& operator<<(std::ostream& stream, const LeaseRow& row) { return stream << row.label; }

const std::array leaseRows {
    LeaseRow { "before the expiry", 0, 99, true },
    LeaseRow { "at the expiry", 0, 100, false },
    LeaseRow { "renewed in time", 50, 149, true },
    LeaseRow { "renewed too late", 100, 101, false },
};

/** Guards against keys that outlive their lease and against renewals of a lapsed one. */
BOOST_DATA_TEST_CASE(expires_leases, boost::unit_test::data::make(leaseRows), row)
{
    platform::MemoryStore store;
    const auto lease = store.grantLease({ 100 }, { 0 });
    BOOST_REQUIRE(store.put("key", "held", 0, lease));
    if (row.renewedAt > 0) {
        const auto renewed = store.renewLease(lease, { row.renewedAt });
        BOOST_TEST(renewed.has_value() == row.present);
    }
    store.expire({ row.readAt });
    BOOST_TEST(store.get("key").has_value() == row.present);
}

} // namespace
