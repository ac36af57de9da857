#include "wasabiroad/fleet/wave_planner.hpp"
#include "wasabiroad/launch/site.hpp"
#include "wasabiroad/maintenance/documents.hpp"
#include "wasabiroad/manifest/read.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <fstream>
#include <iostream>
#include <ostream>
#include <sstream>
#include <thread>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;

struct Row {
    const std::string label;
    const std::string example;
    const std::vector<launch::DaemonOptions> daemons;
    /** Fault of the platform during the wave, as the query of its admin call; empty for none. */
    const std::string faults;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

const std::array rows {
    Row { "one daemon in each zone", "hallbach.json",
        { { "entry-a", "by-1" }, { "entry-b", "by-2" }, { "entry-c", "by-3" } }, "" },
    Row { "racing daemons and lost answers", "hallbach.json",
        { { "entry-a", "by-1" }, { "entry-b", "by-2" }, { "entry-c", "by-3" }, { "entry-d", "by-1" } },
        "lose-write-responses=1" },
};

constexpr kernel::Duration waveTimeout { 100000 };

/** Shorter waits and more places than in the example keep the test short; the budgets are those of the site.
 */
std::string quickExample(const std::string& name)
{
    std::ostringstream text;
    text << std::ifstream { std::string { EXAMPLES_DIR } + "/" + name }.rdbuf();
    auto document = boost::json::parse(text.str());
    auto& wave = document.at("waves").as_array().at(0).as_object();
    wave["parallel"] = 10;
    wave["health-wait-ms"] = 300;
    return boost::json::serialize(document);
}

std::string admin(const launch::Site& site, const std::string& target)
{
    const auto response = launch::send({ .address = site.platformAddress(), .target = "/admin/" + target });
    return response ? response->body() : std::string {};
}

/** Sends requests one after the other until it is told to stop. */
class Caller {
public:
    Caller(std::string callers, std::string path, std::string text)
        : address(std::move(callers))
        , target(std::move(path))
        , body(std::move(text))
        , thread([this] { run(); })
    {
    }
    ~Caller() { stop(); }
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

    void stop()
    {
        this->stopped = true;
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }
    std::uint64_t answered() const { return this->good; }
    std::uint64_t failed() const { return this->bad; }

private:
    void run()
    {
        while (!this->stopped) {
            const auto response = launch::send({ .address = this->address,
                .method = "POST",
                .target = this->target,
                .headers = { { "Wasabiroad-Deadline-Ms", "30000" } },
                .body = this->body });
            ++(response && response->result_int() == 200 ? this->good : this->bad);
        }
    }

    const std::string address;
    const std::string target;
    const std::string body;
    std::atomic<bool> stopped { false };
    std::atomic<std::uint64_t> good { 0 };
    std::atomic<std::uint64_t> bad { 0 };
    std::thread thread;
};

/** Waits until the stored wave is finished, by long polls of its key. */
bool waitForEnd(const launch::Site& site)
{
    const auto end = std::chrono::steady_clock::now() + waveTimeout.chrono();
    std::int64_t revision = 0;
    while (std::chrono::steady_clock::now() < end) {
        const auto response = launch::send({ .address = site.platformAddress(),
            .target = "/watch?prefix=wave/&wait-ms=5000&after=" + std::to_string(revision) });
        if (!response || response->result_int() != 200) {
            return false;
        }
        const auto listing = boost::json::parse(response->body());
        revision = listing.at("revision").as_int64();
        for (const auto& entry : listing.at("entries").as_array()) {
            const auto progress
                = maintenance::parseWaveProgress(std::string { entry.at("value").as_string() });
            if (progress && progress->phase == fleet::WavePhase::Finished) {
                return true;
            }
        }
    }
    return false;
}

/** @return Every stored version of the ledgers and waves, in the order of the writes. */
boost::json::array readHistory(const launch::Site& site)
{
    boost::json::array history;
    while (true) {
        const auto page = boost::json::parse(admin(site, "history?from=" + std::to_string(history.size())));
        const auto& entries = page.at("entries").as_array();
        if (entries.empty()) {
            return history;
        }
        history.insert(history.end(), entries.begin(), entries.end());
    }
}

/** Checks the site after each write. */
void checkHistory(const model::Manifest& manifest, const boost::json::array& history)
{
    fleet::Ledgers ledgers;
    std::size_t versions = 0;
    std::set<model::VmId> maintained;
    for (const auto& entry : history) {
        const std::string key { entry.at("key").as_string() };
        if (!key.starts_with("ledger/")) {
            continue;
        }
        const auto ledger = maintenance::parseLedger(std::string { entry.at("value").as_string() });
        BOOST_REQUIRE(ledger);
        const auto before = ledgers.find(ledger->zone);
        const auto lastStep = before == ledgers.end() ? 0 : before->second.lastStep;
        BOOST_TEST(ledger->lastStep == lastStep + 1);
        ledgers.erase(ledger->zone);
        ledgers.emplace(ledger->zone, *ledger);
        ++versions;
        std::set<model::VmId> seen;
        for (const auto& [zone, document] : ledgers) {
            for (const auto& [vm, record] : document.vms) {
                BOOST_TEST(seen.insert(vm).second);
                if (record.maintained == "year-end-kernel#1") {
                    maintained.insert(vm);
                }
            }
        }
        for (const auto& service : manifest.services) {
            std::uint32_t out = 0;
            for (const auto& [zone, document] : ledgers) {
                out += fleet::unavailable(document, service.pool);
            }
            BOOST_TEST(out <= service.maxUnavailable);
        }
    }
    std::cout << "wave: " << versions << " ledger versions checked\n";
    BOOST_TEST(maintained.size() == manifest.vms.size());
}

/** Guards against a wave that breaks a budget, skips a VM, loses a request or cuts off running work. */
BOOST_DATA_TEST_CASE(wave_keeps_budgets_while_requests_run, boost::unit_test::data::make(rows), row)
{
    const auto site = launch::Site::start({ quickExample(row.example), row.daemons });
    BOOST_REQUIRE(site);
    admin(**site, "maintenance?duration-ms=300");
    BOOST_REQUIRE((*site)->apply());
    if (!row.faults.empty()) {
        admin(**site, "faults?" + row.faults);
    }
    const auto& callers = (*site)->addresses(0).callers;
    Caller quick { callers, "/services/pour-sheet/check", "10 payload" };
    Caller other { callers, "/services/order/quote", "10 payload" };
    // A run longer than a drain and a stop together is cut off if the drain does not wait for it.
    Caller slow { callers, "/services/mould-fill/simulate", "6000 payload" };

    const launch::Process tool { { launch::programFolder() + "/wasabiroad",
        { "wave", "start", "--name", "year-end-kernel", "--platform", (*site)->platformAddress() } } };
    BOOST_REQUIRE(tool.waitForLine("phase=running", { 20000 }).has_value());
    BOOST_REQUIRE(waitForEnd(**site));
    quick.stop();
    other.stop();
    slow.stop();
    BOOST_TEST(quick.failed() + other.failed() + slow.failed() == 0U);
    BOOST_TEST(slow.answered() > 0U);
    std::cout << "wave: " << quick.answered() + other.answered() + slow.answered() << " requests answered\n"
              << "wave: platform calls " << admin(**site, "calls") << "\n";
    const auto manifest = manifest::read((*site)->manifest());
    BOOST_REQUIRE(manifest);
    checkHistory(*manifest, readHistory(**site));
}

} // namespace
