#pragma once

#include "wasabiroad/launch/call.hpp"
#include "wasabiroad/launch/process.hpp"

#include <boost/json/object.hpp>

namespace wasabiroad::launch {

/** @brief One daemon of a site. */
struct DaemonOptions {
    const std::string entry;
    const std::string zone;
    /** @brief Members that are added to its settings, as JSON text of an object. */
    const std::string settings { "{}" };

    friend auto operator<=>(const DaemonOptions&, const DaemonOptions&) = default;
};

/** @brief A site of real processes on loopback. */
struct SiteOptions {
    /** @brief Manifest text; the addresses of its VMs are replaced by free ports. */
    const std::string manifest;
    const std::vector<DaemonOptions> daemons;
    /** @brief Folder with the programs. */
    const std::string programs { programFolder() };

    friend auto operator<=>(const SiteOptions&, const SiteOptions&) = default;
};

/** @brief Addresses of a running daemon. */
struct DaemonAddresses {
    const std::string callers;
    const std::string operators;

    friend auto operator<=>(const DaemonAddresses&, const DaemonAddresses&) = default;
};

/** @brief Starts the platform, the upstreams and the daemons of a site as child processes. */
class Site {
public:
    /** @brief Starts all processes. @return The site. Errors: PeerUnreachable, and those of the manifest. */
    static kernel::Expected<std::unique_ptr<Site>> start(const SiteOptions& options);

    /** @brief Puts the manifest in force with the operators' tool and waits until it is in force in each
     * daemon. */
    kernel::Expected<void> apply(kernel::Duration timeout = { 20000 });

    /** @brief Starts one more daemon. */
    kernel::Expected<void> addDaemon(const DaemonOptions& daemon);

    /** @brief Stops a daemon with SIGTERM. @return Its exit code, or nothing when it did not end in time. */
    std::optional<int> stopDaemon(std::size_t index, kernel::Duration timeout = { 30000 });

    Process& daemon(std::size_t index) { return *this->daemons.at(index); }
    const DaemonAddresses& addresses(std::size_t index) const { return this->daemonAddresses.at(index); }
    std::size_t daemonCount() const { return this->daemons.size(); }

    /** @return Address of the platform's stand-in. */
    const std::string& platformAddress() const { return this->platformListener; }

    /** @return Address of the admin listener of the upstreams' stand-in. */
    const std::string& upstreamsAdmin() const { return this->adminListener; }

    /** @return The manifest with the real addresses. */
    const std::string& manifest() const { return this->manifestText; }

    /** @brief Replaces the manifest for the next `apply`. */
    void setManifest(std::string text) { this->manifestText = std::move(text); }

private:
    explicit Site(const SiteOptions& options);

    kernel::Expected<void> startStandIns();
    kernel::Expected<void> readAddresses();

    const SiteOptions options;
    std::string manifestText;
    std::string platformListener {};
    std::string adminListener {};
    std::unique_ptr<Process> platform {};
    std::unique_ptr<Process> upstreams {};
    std::vector<std::unique_ptr<Process>> daemons {};
    std::vector<DaemonAddresses> daemonAddresses {};
};

} // namespace wasabiroad::launch
