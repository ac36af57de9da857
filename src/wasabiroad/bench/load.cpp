#include "wasabiroad/bench/load.hpp"

#include "wasabiroad/bench/run_log_reader.hpp"
#include "wasabiroad/http/endpoint.hpp"
#include "wasabiroad/launch/site.hpp"
#include "wasabiroad/manifest/read.hpp"

namespace wasabiroad::bench {

LoadTarget targetOf(const launch::Site& site)
{
    std::vector<std::string> daemons;
    for (std::size_t index = 0; index < site.daemonCount(); ++index) {
        daemons.push_back(site.addresses(index).callers);
    }
    return { site.manifest(), std::move(daemons), site.upstreamsAdmin() };
}

kernel::Expected<Observations> observe(
    const LoadTarget& target, const LoadProfile& profile, const std::function<void(const Progress&)>& report)
{
    const auto manifest = manifest::read(target.manifest);
    if (!manifest) {
        return tl::unexpected(manifest.error().front());
    }
    std::vector<boost::asio::ip::tcp::endpoint> daemons;
    for (const auto& address : target.daemons) {
        const auto endpoint = http::parseEndpoint(address);
        if (!endpoint) {
            return tl::unexpected(endpoint.error());
        }
        daemons.push_back(*endpoint);
    }
    const auto before = countRuns(target.upstreams);
    if (!before) {
        return tl::unexpected(before.error());
    }
    auto records = sendLoad(*manifest, { .daemons = daemons, .profile = profile, .report = report });
    auto runs = readRuns(target.upstreams, *before);
    if (!runs) {
        return tl::unexpected(runs.error());
    }
    auto summary = summarise(records, *runs, profile.length);
    return Observations { std::move(records), std::move(*runs), std::move(summary) };
}

} // namespace wasabiroad::bench
