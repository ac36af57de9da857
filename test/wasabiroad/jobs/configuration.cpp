#include "wasabiroad/jobs/configuration.hpp"

#include <string>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::jobs {

namespace {

namespace data = boost::unit_test::data;

Queue queue(const std::string& id, const std::string& host, const std::string& prefix)
{
    return { .id = QueueId { id }, .host = host, .prefix = prefix };
}

struct Row {
    const char* host;
    const char* path;
    const char* found;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.host << row.path; }
};

const std::vector<Row> rows {
    { "a.example", "/x/1", "short" },
    { "a.example", "/x/y/1", "long" },
    { "b.example", "/x/1", "other" },
    { "a.example", "/z/1", "" },
    { "c.example", "/x/1", "" },
};

/** Guards against calls that are not routed to the queue with the longest matching prefix of their host. */
BOOST_DATA_TEST_CASE(longest_prefix_selects_the_queue, data::make(rows), row)
{
    const Configuration configuration { {},
        { queue("short", "a.example", "/x/"), queue("long", "a.example", "/x/y/"),
            queue("other", "b.example", "/x/") } };
    const auto* const found = findQueue(configuration, row.host, row.path);
    BOOST_TEST((found != nullptr ? found->id.text() : "") == row.found);
}

} // namespace

} // namespace wasabiroad::jobs
