#include "wasabiroad/launch/process.hpp"

#include <csignal>
#include <fstream>
#include <ostream>
#include <vector>

#include <boost/filesystem/operations.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
namespace data = boost::unit_test::data;

const std::string unchanged { R"({"version":1,"entry":"e","zone":"z","callers":"127.0.0.1:0",
    "operators":"127.0.0.1:0","platform":"127.0.0.1:1"})" };
const std::string otherZone { R"({"version":1,"entry":"e","zone":"y","callers":"127.0.0.1:0",
    "operators":"127.0.0.1:0","platform":"127.0.0.1:1"})" };

/** What the settings file holds at a hangup, and the line that is logged. */
struct Row {
    const char* title;
    const std::string text;
    const std::string line;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<Row> rows {
    { "the file is as before", unchanged, "outcome=unchanged" },
    { "a member has changed", otherZone, "changed=zone" },
    { "the file cannot be read as settings", "{", "outcome=invalid" },
};

/** Guards against a daemon that ends at a hangup, as by the signal's default. */
BOOST_DATA_TEST_CASE(daemon_lives_on_after_a_hangup, data::make(rows), row)
{
    constexpr kernel::Duration patience { 20000 };
    const auto path
        = boost::filesystem::temp_directory_path() / boost::filesystem::unique_path("settings-%%%%%%%%.json");
    const auto write = [&](const std::string& text) { std::ofstream { path.string() } << text; };
    write(unchanged);
    launch::Process daemon { { launch::programFolder() + "/wasabiroadd", { "--settings", path.string() } } };
    BOOST_REQUIRE(daemon.waitForLine("event=listening listener=operators", patience).has_value());
    write(row.text);
    daemon.signal(SIGHUP);
    const auto line = daemon.waitForLine("event=settings-reloaded", patience);
    BOOST_REQUIRE(line.has_value());
    BOOST_TEST(line->find(row.line) != std::string::npos);
    daemon.signal(SIGTERM);
    BOOST_TEST((daemon.wait(patience) == std::optional { 0 }));
    boost::filesystem::remove(path);
}

} // namespace
