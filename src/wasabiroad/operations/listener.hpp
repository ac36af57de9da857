#pragma once

#include "wasabiroad/http/message.hpp"
#include "wasabiroad/kernel/kernel.hpp"
#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/metrics/metrics.hpp"
#include "wasabiroad/settings/settings.hpp"

namespace wasabiroad::operations::internal {

/** Type of plain answers; the version is that of the Prometheus text format. */
inline constexpr std::string_view plainText { "text/plain; version=0.0.4" };

/** @return The metrics if the request asks for them, or that there is no such page. */
inline http::Response answerMetrics(const http::Request& request, metrics::Metrics& metrics)
{
    return request.target() == "/metrics" ? http::respond(request, 200, plainText, metrics.text())
                                          : http::respond(request, 404, plainText, "not found\n");
}

/** @brief Opens the operators' address of the settings with a new `Listener` and provides it. */
template <typename Listener> kernel::Expected<void> startListener(kernel::Kernel& kernel)
{
    auto listener = std::make_shared<Listener>(kernel);
    const auto address = listener->listen(kernel.find<const settings::Settings>()->operators);
    if (!address) {
        return tl::unexpected(address.error());
    }
    kernel::logEvent("listening", { { "listener", "operators" }, { "address", *address } });
    kernel.provide(std::move(listener));
    return {};
}

} // namespace wasabiroad::operations::internal
