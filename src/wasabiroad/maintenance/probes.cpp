#include "wasabiroad/maintenance/probes.hpp"

#include "wasabiroad/http/client.hpp"
#include "wasabiroad/http/endpoint.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>

namespace wasabiroad::maintenance {

namespace {

const kernel::Clock clock { kernel::SteadyClock {} };
constexpr kernel::Duration probeTimeout { 1000 };

/** Number of running requests in the response to a probe; empty when the upstream is not healthy. */
std::optional<std::uint32_t> parseRunning(const kernel::Expected<http::Response>& response)
{
    if (!response || response->result_int() != 200) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto document = boost::json::parse(response->body(), error);
    const auto* const object = error ? nullptr : document.if_object();
    const auto* const running = object != nullptr ? object->if_contains("running") : nullptr;
    if (running == nullptr || !running->is_int64() || running->get_int64() < 0) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(running->get_int64());
}

} // namespace

Probes::Probes(boost::asio::io_context& ioContext)
    : context(ioContext)
{
}

void Probes::recordStep(const model::VmId& vm, std::uint64_t step)
{
    auto& result = this->results[vm];
    if (result.step != step) {
        result.step = step;
        result.stepSeenAt = kernel::now(clock);
    }
}

void Probes::probe(
    const model::VmId& vm, const std::string& address, kernel::Duration interval, kernel::Duration retry)
{
    auto& result = this->results[vm];
    if (result.inProgress
        || (result.lastProbe
            && kernel::now(clock) - *result.lastProbe < (result.failedProbes > 0 ? retry : interval))) {
        return;
    }
    result.inProgress = true;
    boost::asio::co_spawn(this->context, sendProbe(vm, address), boost::asio::detached);
}

boost::asio::awaitable<void> Probes::sendProbe(model::VmId vm, std::string address)
{
    const auto started = kernel::now(clock);
    std::optional<std::uint32_t> running;
    if (const auto endpoint = http::parseEndpoint(address)) {
        auto request = http::makeRequest(boost::beast::http::verb::get, "/status");
        const auto response = co_await http::exchange(*endpoint, std::move(request), probeTimeout);
        running = parseRunning(response);
    }
    auto& result = this->results[vm];
    result.inProgress = false;
    result.lastProbe = started;
    result.running = running.value_or(0);
    result.failedProbes = running ? 0 : result.failedProbes + 1;
    if (!running) {
        result.healthySince.reset();
    } else if (!result.healthySince) {
        result.healthySince = started;
    }
}

fleet::VmObservation Probes::observe(const model::VmId& vm, const fleet::ProgressRules& rules) const
{
    const auto found = this->results.find(vm);
    if (found == this->results.end()) {
        return {};
    }
    const auto& result = found->second;
    const auto now = kernel::now(clock);
    // A count taken before the drain has reached all entry VMs does not prove that the VM is idle, because
    // new requests may still arrive.
    const bool isAfterDrainPropagation = result.lastProbe && result.failedProbes == 0
        && *result.lastProbe - result.stepSeenAt >= rules.drainPropagation;
    return {
        .timeInState = now - result.stepSeenAt,
        .healthyFor = result.healthySince ? std::optional { now - *result.healthySince } : std::nullopt,
        .failedProbes = result.failedProbes,
        .running = isAfterDrainPropagation ? std::optional { result.running } : std::nullopt,
    };
}

} // namespace wasabiroad::maintenance
