#include "platform/base64.hpp"
#include "platform/documents.hpp"
#include "platform/orders.hpp"
#include "platform/requests.hpp"

#include <string>
#include <vector>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace wasabiroad::platform {

namespace {

namespace json = boost::json;

/** Values that another writer may leave in any member. */
const std::vector<std::string> oddValues { "null", "true", "0", "-1", "1e300", "-1e300", "1e400", "0e999",
    "0.5", "9223372036854775807", "-9223372036854775808", "18446744073709551615", "\"\"", "\"\\u0000\"",
    "\"a\\r\\nb\"", "[]", "[[]]", "{}", "[1e300,{\"a\":[]}]", "\"10.0.0.1:65536\"", "\"[::1]:0\"",
    "\"\\ud800\"" };

const std::string upstream = R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready","born":7,
    "capacity":{"cpu":1,"memMb":2,"gpu":3},"labels":["k","r"],"seq":4})";
const std::string configuration
    = R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/k/","service":"s",
    "timeoutMs":3000,"sloMs":600,"priority":1,"maxAttempts":4,"stretch":1.6}],"services":[{"name":"s",
    "spare":true}],"limits":{"maxBodyBytes":1000}})";
const std::string wave = R"({"wave":3,"machines":["m-1","m-2"],"durationS":20.5,"maxCount":2})";
const std::string vms
    = R"({"machines":[{"machine":"m-1","pool":"s","state":"up","id":"i-1","capacity":{"cpu":1}}],
    "nextToken":"t"})";
const std::string tasks = R"({"clockMs":4,"born":9,"runningTasks":[["5c0e.0.1.17",2,"c",41,12.7]],
    "ended":[[58,"5c0e.0.1.17",1,"lapsed",""]],"reason":"fence"})";
const std::string job = R"({"spec":"t","runCount":2,"startMs":5,"intervalMs":6,"steps":[{"count":4,"cpu":5,
    "memMb":2,"gpu":1,"estimateMs":9,"after":[],"maxPerServer":2,"targetMs":3,"mayMiss":1}]})";

/** Decodes a text as each kind of document. */
void decodeAll(const std::string& text)
{
    (void)decodeUpstream("i-1", text);
    (void)decodeConfiguration(text);
    (void)decodeWave(text);
    (void)decodeVms(text);
    const Document answer { text };
    (void)decodeTasks(answer);
    (void)decodeClock(answer);
    (void)decodeRejection(text);
    (void)decodeTask(text);
    (void)fromBase64(text);
    (void)decodeJob(jobs::JobId { "5c0e7a21d94b36f8" }, {}, text, {});
}

/** @return All values within a value, in the order of their text. */
void collect(json::value& value, std::vector<json::value*>& found)
{
    found.push_back(&value);
    if (auto* const object = value.if_object()) {
        for (auto& member : *object) {
            collect(member.value(), found);
        }
    } else if (auto* const array = value.if_array()) {
        for (auto& element : *array) {
            collect(element, found);
        }
    }
}

/** @return The text with one of its values replaced by the text of another. */
std::string replaceValue(const std::string& text, std::size_t position, const std::string& replacement)
{
    constexpr std::string_view mark { "@here@" };
    auto document = json::parse(text);
    std::vector<json::value*> values;
    collect(document, values);
    *values[position % values.size()] = json::string { mark.data(), mark.size() };
    auto changed = json::serialize(document);
    const auto quoted = '"' + std::string { mark } + '"';
    return changed.replace(changed.find(quoted), quoted.size(), replacement);
}

rc::Gen<std::string> documents() { return rc::gen::element(upstream, configuration, wave, vms, tasks, job); }

/** Guards against a value of another writer that throws, or is used beyond the range of its type. */
BOOST_AUTO_TEST_CASE(odd_values_never_throw)
{
    BOOST_TEST(rc::check([] {
        const auto text = *documents();
        const auto position = *rc::gen::inRange<std::size_t>(0, 40);
        decodeAll(replaceValue(text, position, *rc::gen::elementOf(oddValues)));
    }));
}

/** Guards against bytes of another writer that throw. */
BOOST_AUTO_TEST_CASE(odd_bytes_never_throw)
{
    BOOST_TEST(rc::check([] {
        auto text = *documents();
        const auto from = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto count = *rc::gen::inRange<std::size_t>(0, text.size());
        text.replace(from, count, *rc::gen::arbitrary<std::string>());
        decodeAll(text);
    }));
}

/** Guards against a row of another writer that hides the rows beside it. */
BOOST_AUTO_TEST_CASE(rows_beside_an_odd_one_stay_in_use)
{
    BOOST_TEST(rc::check([] {
        const auto odd = *rc::gen::elementOf(oddValues);
        const auto page = decodeVms(R"({"machines":[)" + odd + R"(,{"machine":"m-1","pool":"s"},{"machine":)"
            + odd + R"(,"pool":)" + odd + "}]}");
        const auto operators = decodeConfiguration(
            R"({"version":1,"routes":[)" + odd + R"(,{"name":"r","service":"s","stretch":)" + odd + "}]}");
        const auto listed = decodeTasks(Document { R"({"runningTasks":[)" + odd
            + R"(,["5c0e.0.1.17",2,"c",41,12.7]],"ended":[)" + odd + R"(,[1,"5c0e.0.1.17",1,"done",""]]})" });
        // A text that Boost.JSON does not take as a whole, such as an unpaired surrogate, is no document.
        if (Document { odd }.root().is_null()) {
            return;
        }
        RC_ASSERT(page && page->vms.front().vm == model::VmId { "m-1" });
        RC_ASSERT(operators && operators->queues.size() == 1U);
        RC_ASSERT(listed && listed->running.size() == 1U && listed->ended.size() == 1U);
    }));
}

} // namespace

} // namespace wasabiroad::platform
