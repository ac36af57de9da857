#include "wasabiroad/kernel/log.hpp"

#include <array>
#include <future>
#include <ostream>
#include <sstream>
#include <utility>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad::kernel;

struct Row {
    const std::string value;
    const std::string line;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.line; }

const std::array rows {
    Row { "plain", "event=test key=plain" },
    Row { "", "event=test key=\"\"" },
    Row { "two words", "event=test key=\"two words\"" },
    Row { "a=b", "event=test key=\"a=b\"" },
    Row { "quote\"", "event=test key=\"quote\\\"\"" },
    Row { "line\nbreak", "event=test key=\"line\\x0abreak\"" },
};

/** Guards against values from callers that forge further fields or lines. */
BOOST_DATA_TEST_CASE(escapes_values, boost::unit_test::data::make(rows), row)
{
    BOOST_TEST(formatEvent("test", { { "key", row.value } }) == row.line);
}

/** @brief Keeps what is written; the first write waits until it is allowed. */
class SlowOutput : public std::stringbuf {
public:
    void allow() { this->allowed.set_value(); }
    void awaitWrite() { this->begun.get_future().wait(); }

protected:
    std::streamsize xsputn(const char* text, std::streamsize size) override
    {
        if (!std::exchange(this->waited, true)) {
            this->begun.set_value();
            this->allowed.get_future().wait();
        }
        return std::stringbuf::xsputn(text, size);
    }

private:
    std::promise<void> allowed {};
    std::promise<void> begun {};
    bool waited { false };
};

/** @return The fields that follow the time and the event in each line. */
std::vector<std::string> fieldsOf(const std::string& text)
{
    std::vector<std::string> fields;
    std::istringstream lines { text };
    for (std::string line; std::getline(lines, line);) {
        fields.push_back(line.substr(line.rfind(' ') + 1));
    }
    return fields;
}

std::vector<std::string> numbered(std::size_t first, std::size_t last)
{
    std::vector<std::string> fields;
    for (auto number = first; number < last; ++number) {
        fields.push_back("number=" + std::to_string(number));
    }
    return fields;
}

void logNumbered(std::size_t first, std::size_t last)
{
    for (auto number = first; number < last; ++number) {
        logEvent("test", { { "number", number } });
    }
}

/** Guards against lines that are lost or reordered between batches or at the stop. */
BOOST_AUTO_TEST_CASE(all_lines_are_written_in_order_by_the_stop)
{
    std::ostringstream output;
    startLogging(output);
    constexpr std::size_t batch = 100;
    for (std::size_t first = 0; first < 10 * batch; first += batch) {
        logNumbered(first, first + batch);
        flushLog();
    }
    logNumbered(10 * batch, 11 * batch);
    BOOST_TEST(stopLogging());
    BOOST_TEST(fieldsOf(output.str()) == numbered(0, 11 * batch), boost::test_tools::per_element());
}

/** Guards against callers that wait for the output, and lines dropped without a word. */
BOOST_AUTO_TEST_CASE(output_that_stands_still_holds_up_no_caller)
{
    constexpr std::size_t bound = 8192;
    constexpr std::size_t beyond = 5;
    SlowOutput buffer;
    std::ostream output { &buffer };
    startLogging(output);
    logNumbered(0, 1);
    flushLog();
    buffer.awaitWrite();
    logNumbered(1, 1 + beyond + bound);
    flushLog();
    buffer.allow();
    stopLogging();
    auto expected = numbered(0, 1);
    expected.push_back("lines=" + std::to_string(beyond));
    const auto newest = numbered(1 + beyond, 1 + beyond + bound);
    expected.insert(expected.end(), newest.begin(), newest.end());
    BOOST_TEST(fieldsOf(buffer.str()) == expected, boost::test_tools::per_element());
}

/** Guards against a daemon that cannot stop since nobody reads its log. */
BOOST_AUTO_TEST_CASE(stop_does_not_wait_for_output_that_stands_still)
{
    // Never destroyed: the writer thread may use the output while the test program ends.
    static auto& buffer = *new SlowOutput;
    static auto& output = *new std::ostream { &buffer };
    startLogging(output);
    logNumbered(0, 1);
    flushLog();
    buffer.awaitWrite();
    logNumbered(1, 2);
    auto stopped = std::async(std::launch::async, [] { return stopLogging(); });
    constexpr std::chrono::seconds patience { 10 };
    const bool inTime = stopped.wait_for(patience) == std::future_status::ready;
    buffer.allow();
    BOOST_TEST(inTime);
    BOOST_TEST(!stopped.get());
}

} // namespace
