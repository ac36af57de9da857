#include "wasabiroad/example.hpp"
#include "wasabiroad/launch/site.hpp"

#include <array>
#include <csignal>
#include <functional>
#include <ostream>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <unistd.h>
#include <zmq.h>

namespace {

using namespace wasabiroad;
using kernel::Duration;

/** Ends a wait only in a test that fails. */
constexpr Duration bound { 60000 };

struct Entry {
    std::string name;
    std::string zone;
    std::string address;
    std::string publicKey;
    std::string secretKey;
};

/**
 * Peers must know each other's ports before they start. An IP address of the loopback network that is
 * made from the process id keeps parallel runs apart; the port was free a moment ago.
 */
std::string reserveAddress()
{
    const auto id = static_cast<unsigned>(::getpid());
    const auto host = "127." + std::to_string(64 + (id >> 16U) % 128) + "." + std::to_string((id >> 8U) % 256)
        + "." + std::to_string(1 + id % 254);
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor acceptor { context, { boost::asio::ip::make_address(host), 0 } };
    return host + ":" + std::to_string(acceptor.local_endpoint().port());
}

std::vector<Entry> makeEntries(const std::vector<std::string>& zones)
{
    std::vector<Entry> entries;
    for (const auto& zone : zones) {
        const auto index = static_cast<int>(entries.size());
        std::array<char, 41> publicKey {};
        std::array<char, 41> secretKey {};
        BOOST_REQUIRE(zmq_curve_keypair(publicKey.data(), secretKey.data()) == 0);
        entries.push_back({ "entry-" + std::string(1, static_cast<char>('a' + index)), zone, reserveAddress(),
            publicKey.data(), secretKey.data() });
    }
    return entries;
}

/** Settings of one entry; an intruder has a key that the others do not list. */
launch::DaemonOptions optionsOf(const std::vector<Entry>& entries, std::size_t index, bool isIntruder = false)
{
    boost::json::array list;
    for (const auto& entry : entries) {
        list.push_back({ { "entry", entry.name }, { "zone", entry.zone }, { "address", entry.address },
            { "public-key", entry.publicKey } });
    }
    const auto& own = entries[index];
    const auto secret = isIntruder ? makeEntries({ "z" }).front().secretKey : own.secretKey;
    const boost::json::value settings { { "peers",
        { { "listen", own.address }, { "secret-key", secret }, { "entries", list } } } };
    return { own.name, own.zone, boost::json::serialize(settings) };
}

/** Two entries in one zone and one in another, and the platform. */
class Fixture {
public:
    explicit Fixture(std::size_t started = 3)
        : entries(makeEntries({ "by-1", "by-1", "by-2" }))
        , site(startSite(this->entries, started))
    {
    }

    static std::unique_ptr<launch::Site> startSite(const std::vector<Entry>& entries, std::size_t started)
    {
        std::vector<launch::DaemonOptions> daemons;
        for (std::size_t index = 0; index < started; ++index) {
            daemons.push_back(optionsOf(entries, index));
        }
        auto site = launch::Site::start({ test::example("hallbach.json"), daemons });
        BOOST_REQUIRE(site);
        return std::move(*site);
    }

    void add(std::size_t index, bool isIntruder = false)
    {
        BOOST_REQUIRE(this->site->addDaemon(optionsOf(this->entries, index, isIntruder)));
    }
    void expect(std::size_t daemon, const std::string& line)
    {
        BOOST_TEST_CONTEXT("daemon " << daemon << " logs " << line)
        {
            BOOST_REQUIRE(this->site->daemon(daemon).waitForLine(line, bound));
        }
    }
    /** Lines before an event look like those after it, so the latter are counted. */
    void expectCount(std::size_t daemon, const std::string& text, std::size_t count)
    {
        const auto end = std::chrono::steady_clock::now() + bound.chrono();
        while (this->site->daemon(daemon).count(text) < count && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(std::chrono::milliseconds { 20 });
        }
        BOOST_TEST_CONTEXT("daemon " << daemon << " logs " << text)
        {
            BOOST_REQUIRE(this->site->daemon(daemon).count(text) >= count);
        }
    }
    void expectMembers(std::size_t daemon, int zone, int all)
    {
        expect(daemon,
            "event=membership-changed zone-entries=" + std::to_string(zone)
                + " site-entries=" + std::to_string(all));
    }
    void expectAllMembers()
    {
        expectMembers(0, 2, 3);
        expectMembers(1, 2, 3);
        expectMembers(2, 1, 3);
    }
    void fault(const std::string& query)
    {
        BOOST_REQUIRE(
            launch::send({ .address = this->site->platformAddress(), .target = "/admin/" + query }));
    }
    std::string metrics(std::size_t daemon)
    {
        const auto response
            = launch::send({ .address = this->site->addresses(daemon).operators, .target = "/metrics" });
        BOOST_REQUIRE(response);
        return response->body();
    }

    const std::vector<Entry> entries;
    const std::unique_ptr<launch::Site> site;
};

struct Row {
    const std::string label;
    const std::size_t started;
    const std::function<void(Fixture&)> run;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

const std::array rows {
    Row { "entries of two zones see each other and adopt a configuration", 3,
        [](Fixture& f) {
            f.expectAllMembers();
            BOOST_TEST(f.site->apply().has_value());
            BOOST_TEST(f.metrics(0).find("wasabiroad_platform_calls_total{cause=\"") != std::string::npos);
        } },
    Row { "an entry takes the configuration from peers while the platform is down", 2,
        [](Fixture& f) {
            BOOST_REQUIRE(f.site->apply());
            f.fault("faults?outage=1");
            f.add(2);
            f.expect(2, "event=configuration-adopted generation=1 ");
        } },
    Row { "a killed peer is removed and a new incarnation joins", 3,
        [](Fixture& f) {
            f.expectAllMembers();
            f.site->daemon(1).signal(SIGKILL);
            f.expect(0, "event=peer-removed peer=entry-b reason=not-heard");
            f.expectMembers(0, 1, 2);
            f.add(1);
            f.expect(0, "event=peer-restarted peer=entry-b");
            f.expectMembers(3, 2, 3);
        } },
    Row { "a paused peer is removed and joins again when it wakes up", 3,
        [](Fixture& f) {
            f.expectAllMembers();
            f.site->daemon(1).signal(SIGSTOP);
            f.expect(0, "event=peer-removed peer=entry-b");
            f.site->daemon(1).signal(SIGCONT);
            f.expect(1, "event=self-paused");
            f.expectCount(0, "event=peer-joined peer=entry-b", 2);
            f.expectCount(0, "event=membership-changed zone-entries=2 site-entries=3", 2);
        } },
    Row { "a stopped peer says so and is removed at once", 3,
        [](Fixture& f) {
            f.expectAllMembers();
            BOOST_TEST((f.site->stopDaemon(1) == 0));
            f.expect(0, "event=peer-left peer=entry-b");
            f.expectMembers(0, 1, 2);
            BOOST_TEST(f.site->daemon(0).count("event=peer-suspected peer=entry-b") == 0U);
        } },
    Row { "a peer without a known key gets nothing in", 2,
        [](Fixture& f) {
            f.add(2, true);
            f.expect(0, "event=peer-rejected");
            f.expectMembers(0, 2, 2);
            BOOST_TEST(f.site->daemon(0).count("event=peer-joined peer=entry-c") == 0U);
            BOOST_TEST(f.site->daemon(2).count("event=peer-joined") == 0U);
        } },
    Row { "the list of leaving VMs reaches each entry, and a VM returns", 3,
        [](Fixture& f) {
            f.expectAllMembers();
            f.fault("vms?id=vm-by-1-01&leaving=1");
            for (std::size_t daemon = 0; daemon < 3; ++daemon) {
                f.expect(daemon, "event=leaving-vms-changed vms=1");
            }
            f.fault("vms?id=vm-by-1-01&leaving=0");
            for (std::size_t daemon = 0; daemon < 3; ++daemon) {
                f.expect(daemon, "event=leaving-vms-changed vms=0");
            }
        } },
};

/** Guards against views of real processes that miss faults of peers, keys or the platform. */
BOOST_DATA_TEST_CASE(entries_work_together, boost::unit_test::data::make(rows), row)
{
    Fixture fixture { row.started };
    row.run(fixture);
}

} // namespace
