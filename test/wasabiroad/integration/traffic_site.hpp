#pragma once

#include "wasabiroad/bench/run_log_reader.hpp"
#include "wasabiroad/launch/site.hpp"

#include <array>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

/** @brief What the tests of the traffic path share. */
namespace wasabiroad::test {

/** @brief One of the example sites, with an operation of each kind of protection. */
struct Example {
    const std::string file;
    const std::string zone;
    const std::string repeatable;
    const std::string stoppable;
    const std::string ticketed;
    /** @brief Operation of a service that is switched to claims. */
    const std::string claimed;

    friend std::ostream& operator<<(std::ostream& stream, const Example& example)
    {
        return stream << example.file;
    }
};

inline const std::array examples {
    Example { "hallbach.json", "by-1", "/services/pour-sheet/check", "/services/pour-sheet/report",
        "/services/certificate/issue", "/services/order/confirm" },
    Example { "accord-labs.json", "nw-1", "/services/slot-finder/find", "/services/slot-finder/plan-quarter",
        "/services/booking/confirm", "/services/notice/send" },
};

/** @return The manifest of an example, with claims for its last service. */
inline std::string manifestOf(const Example& example)
{
    std::ostringstream text;
    text << std::ifstream { std::string { EXAMPLES_DIR } + "/" + example.file }.rdbuf();
    auto document = boost::json::parse(text.str());
    document.as_object()["services"].as_array().back().as_object()["at-most-once"] = "claim";
    return boost::json::serialize(document);
}

/** Waits until all traffic threads of all daemons use a snapshot; until then they answer NotConfigured. */
inline bool isConfigured(launch::Site& site)
{
    bool all = true;
    for (std::size_t index = 0; index < site.daemonCount(); ++index) {
        for (const std::string thread : { "0", "1" }) {
            all = all
                && site.daemon(index).waitForLine("event=snapshot-in-use thread=" + thread + " ", { 20000 });
        }
    }
    return all;
}

/** @return A running site with the given daemons, its manifest applied; null when it did not start. */
inline std::unique_ptr<launch::Site> startSite(const Example& example, std::size_t daemons = 1,
    const std::string& settings = "{}", const std::string& manifest = {})
{
    std::vector<launch::DaemonOptions> options;
    for (std::size_t index = 0; index < daemons; ++index) {
        options.push_back({ "entry-" + std::to_string(index), example.zone, settings });
    }
    auto site = launch::Site::start({ manifest.empty() ? manifestOf(example) : manifest, options });
    if (!site || !(*site)->apply() || !isConfigured(**site)) {
        return nullptr;
    }
    return std::move(*site);
}

/** @return A new ticket of a daemon, or an empty text. */
inline std::string ticketOf(const launch::Site& site, std::size_t daemon)
{
    const auto response
        = launch::send({ .address = site.addresses(daemon).callers, .method = "POST", .target = "/tickets" });
    return response ? std::string { (*response)["Wasabiroad-Ticket"] } : std::string {};
}

/** @return How often the upstreams ran each request. */
inline std::map<std::string, std::size_t> runsOf(const launch::Site& site)
{
    std::map<std::string, std::size_t> runs;
    const auto log = bench::readRuns(site.upstreamsAdmin(), 0);
    if (log) {
        for (const auto& run : *log) {
            ++runs[run.request];
        }
    }
    return runs;
}

/** @brief Sets the faults of the platform's stand-in. @return Whether it took them. */
inline bool setPlatformFaults(const launch::Site& site, const std::string& query)
{
    const auto response = launch::send(
        { .address = site.platformAddress(), .method = "POST", .target = "/admin/faults?" + query });
    return response && response->result_int() == 200;
}

} // namespace wasabiroad::test
