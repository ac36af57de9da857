#include "wasabiroad/bench/load.hpp"
#include "wasabiroad/bench/report.hpp"
#include "wasabiroad/kernel/overloaded.hpp"
#include "wasabiroad/launch/site.hpp"

#include "wasabiroad/example.hpp"

#include <array>
#include <ostream>
#include <variant>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;

/** No fault between the processes; the upstreams misbehave as the query of their admin listener says. */
struct Misbehaviour {
    const std::string query;
};

/** A fault proxy in front of the first daemon. */
struct CallerSide {
    const std::string fault;
};

/** A fault proxy in front of each of the first upstreams. */
struct UpstreamSide {
    const std::string fault;
};

using Place = std::variant<Misbehaviour, CallerSide, UpstreamSide>;

struct Row {
    const std::string example;
    const std::string zone;
    const Place place;
    const std::uint64_t seed;
};

std::ostream& operator<<(std::ostream& stream, const Row& row)
{
    std::visit(kernel::Overloaded {
                   [&](const Misbehaviour& place) { stream << "upstreams " << place.query; },
                   [&](const CallerSide& place) { stream << "proxy of a daemon " << place.fault; },
                   [&](const UpstreamSide& place) { stream << "proxies of upstreams " << place.fault; },
               },
        row.place);
    return stream << " at " << row.example << ", seed " << row.seed;
}

const std::array rows {
    Row { "hallbach.json", "by-1", Misbehaviour { "kind=healthy" }, 1 },
    Row { "hallbach.json", "by-1", Misbehaviour { "kind=kill-after&percent=10&vm=vm-by-1-01" }, 2 },
    Row { "hallbach.json", "by-1", Misbehaviour { "kind=kill-before&percent=20" }, 3 },
    Row { "accord-labs.json", "nw-1", Misbehaviour { "kind=kill-after&percent=5" }, 4 },
    Row { "accord-labs.json", "nw-1", Misbehaviour { "kind=fail-fast&vm=vm-nw-1-01" }, 5 },
    Row { "accord-labs.json", "nw-1", Misbehaviour { "kind=black-hole&vm=vm-nw-1-01" }, 6 },
    Row { "hallbach.json", "by-1", CallerSide { "kind=delay&ms=5" }, 7 },
    Row { "hallbach.json", "by-1", CallerSide { "kind=cut&bytes=900" }, 8 },
    Row { "hallbach.json", "by-1", CallerSide { "kind=truncate&bytes=500" }, 9 },
    Row { "hallbach.json", "by-1", UpstreamSide { "kind=cut&bytes=700" }, 10 },
    Row { "hallbach.json", "by-1", UpstreamSide { "kind=truncate&bytes=150" }, 11 },
    Row { "hallbach.json", "by-1", UpstreamSide { "kind=duplicate" }, 12 },
    Row { "hallbach.json", "by-1", UpstreamSide { "kind=reorder&ms=300" }, 13 },
    Row { "hallbach.json", "by-1", UpstreamSide { "kind=refuse" }, 14 },
    Row { "hallbach.json", "by-1", UpstreamSide { "kind=half-open&lost=to-client" }, 15 },
    Row { "accord-labs.json", "nw-1", UpstreamSide { "kind=partition&ms=1500" }, 16 },
    Row { "accord-labs.json", "nw-1", UpstreamSide { "kind=random&seed=17&percent=40" }, 17 },
};

std::unique_ptr<launch::Process> startProxy(const std::string& server)
{
    return std::make_unique<launch::Process>(launch::ProcessOptions {
        launch::programFolder() + "/wasabiroad-standin", { "proxy", "--to", server } });
}

void set(const std::string& admin, const std::string& target)
{
    const auto response = launch::send({ .address = admin, .target = target });
    BOOST_REQUIRE(response);
    BOOST_REQUIRE(response->result_int() == 200U);
}

/** A site with two daemons and the proxies that a row asks for. */
class FaultySite {
public:
    explicit FaultySite(const Row& row)
    {
        auto started = launch::Site::start(
            { test::example(row.example), { { "entry-a", row.zone }, { "entry-b", row.zone } } });
        BOOST_REQUIRE(started);
        this->site = std::move(*started);
        if (const auto* const upstreams = std::get_if<UpstreamSide>(&row.place)) {
            insertBeforeUpstreams(upstreams->fault);
        }
        BOOST_REQUIRE(this->site->apply());
        this->daemons = bench::targetOf(*this->site).daemons;
        if (const auto* const caller = std::get_if<CallerSide>(&row.place)) {
            this->daemons.front() = insert(this->daemons.front(), caller->fault);
        }
        if (const auto* const misbehaviour = std::get_if<Misbehaviour>(&row.place)) {
            set(this->site->upstreamsAdmin(), "/behaviour?" + misbehaviour->query);
        }
    }

    bench::LoadTarget target() const
    {
        return { this->site->manifest(), this->daemons, this->site->upstreamsAdmin() };
    }

private:
    std::string insert(const std::string& server, const std::string& fault)
    {
        this->proxies.push_back(startProxy(server));
        const auto address = this->proxies.back()->address("proxy");
        const auto admin = this->proxies.back()->address("admin");
        BOOST_REQUIRE(address);
        BOOST_REQUIRE(admin);
        set(*admin, "/fault?" + fault);
        return *address;
    }

    void insertBeforeUpstreams(const std::string& fault)
    {
        constexpr std::size_t affected = 4;
        auto document = boost::json::parse(this->site->manifest());
        auto& vms = document.as_object()["vms"].as_array();
        for (std::size_t index = 0; index < affected; ++index) {
            auto& address = vms.at(index).as_object()["address"];
            address = insert(std::string { address.as_string() }, fault);
        }
        this->site->setManifest(boost::json::serialize(document));
    }

    std::unique_ptr<launch::Site> site {};
    std::vector<std::unique_ptr<launch::Process>> proxies {};
    std::vector<std::string> daemons {};
};

/** Guards against lost, doubled and mixed-up requests and false not-run answers under faults. */
BOOST_DATA_TEST_CASE(keeps_its_promises_under_faults, boost::unit_test::data::make(rows), row)
{
    const FaultySite site { row };
    const auto observed = bench::observe(site.target(),
        { .rate = 300,
            .length = { 2000 },
            .seed = row.seed,
            .burstLength = { 500 },
            .longFactor = 10,
            .nonIdempotent = true });
    BOOST_REQUIRE(observed);
    BOOST_TEST_MESSAGE(bench::toMarkdown(observed->summary));
    BOOST_TEST(observed->summary.answered > 0U);
    BOOST_TEST(observed->summary.lost == 0U);
    BOOST_TEST(observed->summary.doubled == 0U);
    BOOST_TEST(observed->summary.mixedUp == 0U);
    BOOST_TEST(observed->summary.falseNotRun == 0U);
}

} // namespace
