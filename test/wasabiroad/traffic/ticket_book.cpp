#include "wasabiroad/traffic/ticket_book.hpp"

#include <array>
#include <ostream>
#include <set>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace {

using namespace wasabiroad;
using kernel::ResultCode;

traffic::TicketSecret secretOf(unsigned char fill)
{
    std::array<unsigned char, traffic::TicketSecret::length> bytes {};
    bytes.fill(fill);
    return { bytes };
}

traffic::TicketBook makeBook(std::uint64_t window)
{
    return { model::EntryId { "entry-a" }, 7, secretOf(1), window };
}

/** What is presented after four tickets were issued with a window of three. */
struct Row {
    const std::string name;
    const std::string text;
    const ResultCode first;
    const ResultCode second;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.name; }

std::string ticket(
    const std::string& entry, std::uint64_t incarnation, std::uint64_t serial, unsigned char secret = 1)
{
    return traffic::format({ model::EntryId { entry }, incarnation, serial }, secretOf(secret));
}

const std::array rows {
    Row { "latest", ticket("entry-a", 7, 4), ResultCode::Ok, ResultCode::AlreadyRun },
    Row { "oldest in the window", ticket("entry-a", 7, 2), ResultCode::Ok, ResultCode::AlreadyRun },
    Row { "below the window", ticket("entry-a", 7, 1), ResultCode::AlreadyRun, ResultCode::AlreadyRun },
    Row { "never issued", ticket("entry-a", 7, 5), ResultCode::TicketInvalid, ResultCode::TicketInvalid },
    Row { "serial zero", ticket("entry-a", 7, 0), ResultCode::TicketInvalid, ResultCode::TicketInvalid },
    Row {
        "other incarnation", ticket("entry-a", 8, 4), ResultCode::TicketInvalid, ResultCode::TicketInvalid },
    Row { "other entry", ticket("entry-b", 7, 4), ResultCode::TicketInvalid, ResultCode::TicketInvalid },
    Row { "other secret", ticket("entry-a", 7, 4, 2), ResultCode::TicketInvalid, ResultCode::TicketInvalid },
    Row { "empty", "", ResultCode::TicketInvalid, ResultCode::TicketInvalid },
    Row { "no hash", "entry-a.0000000000000007.4", ResultCode::TicketInvalid, ResultCode::TicketInvalid },
    Row { "dots only", "....", ResultCode::TicketInvalid, ResultCode::TicketInvalid },
};

/** Guards against a ticket that is accepted twice, after its window, or without having been issued. */
BOOST_DATA_TEST_CASE(redeems_each_ticket_once, boost::unit_test::data::make(rows), row)
{
    auto book = makeBook(3);
    for (int issued = 0; issued < 4; ++issued) {
        book.issue();
    }
    BOOST_TEST((book.redeem(row.text) == row.first));
    BOOST_TEST((book.redeem(row.text) == row.second));
}

const std::array<std::uint64_t, 3> windows { 1, 2, 64 };

/** Guards against a second acceptance under any order of issuing and redeeming. */
BOOST_DATA_TEST_CASE(accepts_no_serial_twice, boost::unit_test::data::make(windows), window)
{
    const bool holds = rc::check([window](const std::vector<std::uint8_t>& steps) {
        auto book = makeBook(window);
        std::vector<std::string> issued;
        std::set<std::string> accepted;
        for (const auto step : steps) {
            if (issued.empty() || step % 2 == 0) {
                issued.push_back(book.text(book.issue()));
                continue;
            }
            const auto& text = issued[step % issued.size()];
            if (book.redeem(text) == ResultCode::Ok) {
                RC_ASSERT(accepted.insert(text).second);
            }
        }
    });
    BOOST_TEST(holds);
}

} // namespace
