#include "platform/documents.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::platform {

namespace {

namespace data = boost::unit_test::data;

/** Guards against configuration fields that are lost or decoded into another member. */
BOOST_AUTO_TEST_CASE(configuration_is_decoded)
{
    const auto decoded = decodeConfiguration(
        R"({"version":7,"routes":[{"name":"r-a","host":"h.example","prefix":"/k/","kind":"non_idempotent",
        "timeoutMs":3000,"sloMs":600,"priority":1,"service":"s1","maxAttempts":4,"stretch":1.6},{"name":5}],
        "services":[{"name":"s1","maxConns":64},{"name":"s2","spare":true}],"limits":{"maxBodyBytes":1000}})");
    const jobs::Configuration expected { { 7 },
        { { jobs::QueueId { "r-a" }, "h.example", "/k/", model::ServiceId { "s1" }, 1, 4, 1.6, { 600 },
            { 3000 } } },
        { { model::ServiceId { "s1" }, false }, { model::ServiceId { "s2" }, true } }, 1000 };
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == expected));
}

const std::vector<std::string> invalidConfigurations { "", "[]", "{}", R"({"version":"7","routes":[]})",
    R"({"version":7})", R"({"version":-1,"routes":[]})", "\xff\xfe" };

/** Guards against an invalid document that replaces the active configuration. */
BOOST_DATA_TEST_CASE(invalid_configuration_is_rejected, data::make(invalidConfigurations), text)
{
    BOOST_TEST(!decodeConfiguration(text).has_value());
}

/** Store entry of an upstream and whether it is valid. */
struct UpstreamRow {
    const char* title;
    const std::string text;
    const bool usable;

    friend std::ostream& operator<<(std::ostream& out, const UpstreamRow& row) { return out << row.title; }
};

/** An array in an array, and so on, far beyond what a stack holds. */
const std::string nested = std::string(100000, '[') + std::string(100000, ']');

const std::vector<UpstreamRow> upstreamRows {
    { "ready",
        R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready","capacity":{"cpu":1},"seq":4})",
        true },
    { "draining",
        R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"draining","capacity":{},"labels":["k","r"]})",
        true },
    { "unknown state", R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"odd","capacity":{}})",
        false },
    { "no service", R"({"address":"10.0.0.1:80","zone":"a","state":"ready","capacity":{}})", false },
    { "address of another type", R"({"service":"s","address":7,"zone":"a","state":"ready","capacity":{}})",
        false },
    { "no capacity", R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready"})", false },
    { "capacity of another type",
        R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready","capacity":5})", false },
    { "capacity beyond every VM",
        R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready","capacity":{"cpu":9223372036854775807}})",
        false },
    { "capacity beyond the type",
        R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready","capacity":{"memMb":1e400}})",
        false },
    { "capacity below zero",
        R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready","capacity":{"gpu":-1}})",
        false },
    { "capacity not whole",
        R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready","capacity":{"cpu":1.5}})",
        false },
    { "port out of range",
        R"({"service":"s","address":"10.0.0.1:65536","zone":"a","state":"ready","capacity":{}})", false },
    { "port below zero",
        R"({"service":"s","address":"10.0.0.1:-1","zone":"a","state":"ready","capacity":{}})", false },
    { "port 0", R"({"service":"s","address":"10.0.0.1:0","zone":"a","state":"ready","capacity":{}})", false },
    { "unspecified address",
        R"({"service":"s","address":"0.0.0.0:80","zone":"a","state":"ready","capacity":{}})", false },
    { "multicast address",
        R"({"service":"s","address":"224.0.0.1:80","zone":"a","state":"ready","capacity":{}})", false },
    { "broadcast address",
        R"({"service":"s","address":"255.255.255.255:80","zone":"a","state":"ready","capacity":{}})", false },
    { "address of the other family",
        R"({"service":"s","address":"fd00::1:80","zone":"a","state":"ready","capacity":{}})", true },
    { "empty service", R"({"service":"","address":"10.0.0.1:80","zone":"a","state":"ready","capacity":{}})",
        false },
    { "the last of two equal names counts",
        R"({"service":7,"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready","capacity":{}})",
        true },
    { "no port", R"({"service":"s","address":"10.0.0.1","zone":"a","state":"ready","capacity":{}})", false },
    { "name for an address",
        R"({"service":"s","address":"host:80","zone":"a","state":"ready","capacity":{}})", false },
    { "deep nesting", nested, false },
    { "deep nesting beside valid fields",
        R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready","capacity":{},"x":)" + nested
            + "}",
        false },
    { "list", "[1,2]", false },
    { "nothing", "", false },
    { "unreadable bytes", "\x01\xff\xfe{", false },
};

/** Guards against invalid entries that crash the daemon or are used as upstreams. */
BOOST_DATA_TEST_CASE(only_valid_entries_are_decoded_as_upstreams, data::make(upstreamRows), row)
{
    BOOST_TEST(decodeUpstream("i-1", row.text).has_value() == row.usable);
}

/** Id of an upstream and whether it can name one in a call. */
struct IdRow {
    const std::string id;
    const bool usable;

    friend std::ostream& operator<<(std::ostream& out, const IdRow& row) { return out << row.id; }
};

const std::vector<IdRow> idRows { { "i-1", true }, { std::string(200, 'i'), true }, { "", false },
    { "i 1", false }, { "i-1\r\nHost: a", false }, { std::string { "i\0001", 3 }, false },
    { "i-\xff", false } };

/** Guards against ids that break the head of a call. */
BOOST_DATA_TEST_CASE(only_ids_that_fit_a_header_name_upstreams, data::make(idRows), row)
{
    BOOST_TEST(decodeUpstream(row.id, upstreamRows.front().text).has_value() == row.usable);
}

/** Guards against upstream fields that are decoded into the wrong member. */
BOOST_AUTO_TEST_CASE(upstream_is_decoded)
{
    const auto facts = decodeUpstream("i-7f",
        R"({"service":"s","address":"10.0.0.9:8080","zone":"hall-a","version":"v1","slots":8,"state":"draining",
        "coldRemainingMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":1},"labels":["a","r1-3"],"clockMs":4,
        "seq":4,"born":1790075856762})");
    BOOST_REQUIRE(facts.has_value());
    const scheduling::UpstreamFacts expected { scheduling::UpstreamId { "i-7f" }, model::ServiceId { "s" },
        "10.0.0.9:8080", model::ZoneId { "hall-a" }, model::RackId { "r1-3" }, { "a", "r1-3" },
        { 16000, 32768, 1 }, true, { 1790075856762 } };
    BOOST_TEST((*facts == expected));
}

/** Guards against a wave that loses its duration or its limit on VMs. */
BOOST_AUTO_TEST_CASE(wave_is_decoded)
{
    const auto wave = decodeWave(R"({"wave":3,"machines":["m-1","m-2"],"durationS":20.5,"maxCount":2})");
    const ports::WaveRequest expected { model::WaveId { "3" }, 3,
        { model::VmId { "m-1" }, model::VmId { "m-2" } }, { 20500 }, 2 };
    BOOST_REQUIRE(wave.has_value());
    BOOST_TEST((*wave == expected));
    BOOST_TEST(!decodeWave("{}").has_value());
    BOOST_TEST(!decodeWave(R"({"wave":-1,"machines":[]})").has_value());
    const auto odd = decodeWave(R"({"wave":3,"machines":[],"durationS":1e300,"maxCount":-1})");
    constexpr std::int64_t thirtyDaysMs = 30LL * 24 * 60 * 60 * 1000;
    BOOST_REQUIRE(odd.has_value());
    BOOST_TEST(odd->duration.milliseconds == thirtyDaysMs);
    BOOST_TEST(odd->parallelism == 1);
    BOOST_TEST(encodeWaveStatus(true) == R"({"state":"completed"})");
    BOOST_TEST(encodeWaveStatus(false) == R"({"state":"running"})");
}

constexpr std::int64_t dayMs = 86'400'000;

/** Values of a queue, and what is used instead. */
struct QueueRow {
    const std::string fields;
    const double stretch;
    const std::int64_t allowance;
    const std::int64_t timeout;

    friend std::ostream& operator<<(std::ostream& out, const QueueRow& row) { return out << row.fields; }
};

const std::vector<QueueRow> queueRows {
    { R"("stretch":1.5,"sloMs":600,"timeoutMs":3000)", 1.5, 600, 3000 },
    { R"("stretch":1e400,"sloMs":9223372036854775807,"timeoutMs":9223372036854775807)", 1000, 30 * dayMs,
        30 * dayMs },
    { R"("stretch":-1e300,"sloMs":-9223372036854775808,"timeoutMs":-1)", 0, 0, 0 },
    { R"("stretch":"1","sloMs":1e300,"timeoutMs":[])", 1, 0, 0 },
    { R"("stretch":0e999,"sloMs":600,"timeoutMs":3000)", 1, 600, 3000 },
};

/** Guards against deadlines beyond the range of their type. */
BOOST_DATA_TEST_CASE(times_of_a_queue_are_limited, data::make(queueRows), row)
{
    const auto decoded
        = decodeConfiguration(R"({"version":1,"routes":[{"name":"r","service":"s",)" + row.fields + "}]}");
    BOOST_REQUIRE(decoded.has_value());
    BOOST_REQUIRE(decoded->queues.size() == 1U);
    const auto& queue = decoded->queues.front();
    BOOST_TEST(queue.stretch == row.stretch);
    BOOST_TEST(queue.allowance.milliseconds == row.allowance);
    BOOST_TEST(queue.timeout.milliseconds == row.timeout);
}

/** Guards against rows of a configuration that make the others unusable. */
BOOST_AUTO_TEST_CASE(odd_rows_of_a_configuration_are_skipped)
{
    const auto decoded = decodeConfiguration(
        R"({"version":1,"routes":[7,null,[],{},{"name":"r"},{"name":"","service":"s"},{"name":"r","service":""},
        {"name":"r","service":"s"}],"services":[7,{},{"name":""},{"name":"s"}],"limits":{"maxBodyBytes":-1}})");
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->queues.size() == 1U);
    BOOST_TEST(decoded->pools.size() == 1U);
    BOOST_TEST(decoded->maxBodyBytes == jobs::Configuration {}.maxBodyBytes);
}

/** Guards against VMs that are wrongly decoded as up, and against a lost token of the next page. */
BOOST_AUTO_TEST_CASE(page_of_vms_is_decoded)
{
    const auto page = decodeVms(
        R"({"machines":[{"machine":"m-1","pool":"s","state":"up","id":"i-1"},{"machine":"m-2","pool":"s",
        "state":"upkeep"},{"machine":"m-3","pool":"s","state":"moving"},{"pool":"s"},7,{"machine":"","pool":"s"},{"machine":"m-4","pool":""}],"nextToken":"t"})");
    BOOST_REQUIRE(page.has_value());
    const model::ServiceId pool { "s" };
    const std::vector<ports::VmFacts> expected {
        { model::VmId { "m-1" }, pool, ports::VmCondition::Up, scheduling::UpstreamId { "i-1" } },
        { model::VmId { "m-2" }, pool, ports::VmCondition::Maintenance, {} },
        { model::VmId { "m-3" }, pool, ports::VmCondition::Moving, {} },
    };
    BOOST_TEST((page->vms == expected));
    BOOST_TEST(page->next == "t");
    BOOST_TEST(decodeVms(R"({"machines":[],"nextToken":null})")->next.empty());
    BOOST_TEST(!decodeVms("{}").has_value());
    for (const std::string token : { "200", "true", "{}", "[]" }) {
        BOOST_TEST(!decodeVms(R"({"machines":[],"nextToken":)" + token + "}").has_value());
    }
    for (const std::string id : { "7", "true", "{}", "[]" }) {
        const auto odd
            = decodeVms(R"({"machines":[{"machine":"m-1","pool":"s","state":"up","id":)" + id + "}]}");
        BOOST_REQUIRE(odd.has_value());
        BOOST_TEST(odd->vms.empty());
        BOOST_TEST(!odd->complete);
    }
}

} // namespace

} // namespace wasabiroad::platform
