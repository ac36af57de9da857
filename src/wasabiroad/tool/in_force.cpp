#include "wasabiroad/tool/in_force.hpp"

#include "wasabiroad/tool/daemon_status.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace wasabiroad::tool {

namespace {

constexpr kernel::Duration pollInterval { 50 };

void pause(kernel::Duration duration)
{
    boost::asio::io_context context { 1 };
    boost::asio::steady_timer timer { context, duration.chrono() };
    timer.wait();
}

bool runs(const std::string& daemon, model::Generation generation)
{
    const auto status = readStatus(daemon);
    return status && generationOf(*status) >= generation.value;
}

} // namespace

InForce waitUntilInForce(
    const std::vector<std::string>& daemons, model::Generation generation, kernel::Duration timeout)
{
    const kernel::Clock clock { kernel::SteadyClock {} };
    const auto end = kernel::now(clock) + timeout;
    std::vector<std::string> reached;
    auto missing = daemons;
    while (true) {
        std::erase_if(missing, [&](const std::string& daemon) {
            const bool inForce = runs(daemon, generation);
            if (inForce) {
                reached.push_back(daemon);
            }
            return inForce;
        });
        if (missing.empty() || kernel::now(clock) >= end) {
            return { std::move(reached), std::move(missing) };
        }
        pause(pollInterval);
    }
}

} // namespace wasabiroad::tool
