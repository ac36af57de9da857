#include "wasabiroad/bench/run_log_reader.hpp"

#include "wasabiroad/json/reader.hpp"
#include "wasabiroad/launch/call.hpp"

#include <boost/json/parse.hpp>

namespace wasabiroad::bench {

namespace {

kernel::Expected<boost::json::value> readPage(
    const std::string& admin, std::uint64_t from, std::uint64_t limit)
{
    const auto response = launch::send({ .address = admin,
        .target = "/runs?from=" + std::to_string(from) + "&limit=" + std::to_string(limit) });
    if (!response) {
        return tl::unexpected(response.error());
    }
    boost::system::error_code failed;
    auto document = boost::json::parse(response->body(), failed);
    if (failed || !document.is_object()) {
        return kernel::fail(kernel::ResultCode::InvalidJson, admin, failed.message(), "a page of runs");
    }
    return document;
}

} // namespace

kernel::Expected<std::vector<UpstreamRun>> readRuns(const std::string& admin, std::uint64_t from)
{
    // A page of this size stays far under the limit of the HTTP client.
    constexpr std::uint64_t pageSize = 20000;
    std::vector<UpstreamRun> runs;
    while (true) {
        const auto page = readPage(admin, from + runs.size(), pageSize);
        if (!page) {
            return tl::unexpected(page.error());
        }
        const auto& rows = page->as_object().at("runs").as_array();
        for (const auto& row : rows) {
            const json::Reader reader { row };
            runs.emplace_back(UpstreamRun {
                reader.text("request"), reader.integer("started-us"), reader.integer("ended-us") });
        }
        if (rows.size() < pageSize) {
            return runs;
        }
    }
}

kernel::Expected<std::uint64_t> countRuns(const std::string& admin)
{
    const auto page = readPage(admin, 0, 0);
    if (!page) {
        return tl::unexpected(page.error());
    }
    return page->as_object().at("total").to_number<std::uint64_t>();
}

} // namespace wasabiroad::bench
