#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/kernel/error.hpp"
#include "wasabiroad/model/identifier.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabiroad::settings {

/** @brief Limits that protect a daemon from its callers and from a slow platform. */
struct Limits {
    const std::uint32_t headerBytes { 16384 };
    const std::uint32_t bodyBytes { 1048576 };
    /** @brief Time for a complete request header and body. */
    const kernel::Duration headerTimeout { 5000 };
    /** @brief Time that a connection may stay without a request. */
    const kernel::Duration idleTimeout { 60000 };
    /** @brief Connections of callers. */
    const std::uint32_t connections { 4096 };
    /** @brief Time for one call to the platform. */
    const kernel::Duration platformTimeout { 2000 };

    friend auto operator<=>(const Limits&, const Limits&) = default;
};

/** @brief Another entry of the site. */
struct PeerEntry {
    const model::EntryId entry;
    const model::ZoneId zone;
    /** @brief IP address and port of its listener for peers. */
    const std::string address;
    /** @brief CURVE public key, Z85. */
    const std::string publicKey;

    friend auto operator<=>(const PeerEntry&, const PeerEntry&) = default;
};

/** @brief Messages between daemons. */
struct Peers {
    /** @brief IP address and port for peers; port 0 lets the system choose. */
    const std::string listen;
    /** @brief CURVE secret key of this entry, Z85. */
    const std::string secretKey;
    /** @brief The other entries of the site. */
    const std::vector<PeerEntry> entries {};

    friend auto operator<=>(const Peers&, const Peers&) = default;
};

/** @brief A platform that runs tasks on upstreams, and what it guarantees. */
struct FleetAccess {
    /** @brief IP address and port for readiness checks of the load balancer. */
    const std::string readiness;
    /** @brief IP address and port of the service that moves and maintains VMs. */
    const std::string vms;
    /** @brief IP address and port of the service that knows which upstreams may run a step; may be empty. */
    const std::string advice {};
    /** @brief Longest lease that an upstream grants to its tasks. */
    const kernel::Duration taskLease { 6000 };
    /** @brief Time between SIGTERM and SIGKILL. */
    const kernel::Duration stopGrace { 6000 };
    /** @brief Time for which ended jobs stay known to callers. */
    const kernel::Duration retention { 120000 };
    /** @brief Two entries must not give orders to one VM within this time. */
    const kernel::Duration orderGap { 3000 };

    friend auto operator<=>(const FleetAccess&, const FleetAccess&) = default;
};

/** @brief What the VM of a daemon offers it. */
struct VmCapacity {
    /** @brief Thousandths of a core. */
    const std::int64_t cpu { 1000 };
    const std::int64_t linkMbps { 1000 };

    friend auto operator<=>(const VmCapacity&, const VmCapacity&) = default;
};

/** @brief Settings of one daemon. */
struct Settings {
    const model::EntryId entry;
    const model::ZoneId zone;
    /** @brief IP address and port for callers; port 0 lets the system choose. */
    const std::string callers;
    /** @brief IP address and port for operators. */
    const std::string operators;
    /** @brief IP address and port of the platform's key-value service. */
    const std::string platform;
    const std::uint32_t trafficThreads { 2 };
    const Limits limits {};
    /** @brief Absent when the daemon runs alone. */
    const std::optional<Peers> peers {};
    /** @brief Present when the daemon runs jobs on a fleet. */
    const std::optional<FleetAccess> fleet {};
    const VmCapacity vm {};

    friend auto operator<=>(const Settings&, const Settings&) = default;
};

/** @brief Values that replace members of the document, by JSON pointer; values are JSON or plain text. */
using Overrides = std::map<std::string, std::string>;

/**
 * @brief Reads the settings of a daemon.
 * @param text JSON text.
 * @param overrides Values from the command line; they pass the same checks.
 * @return The settings, or all errors, each with its JSON pointer.
 */
kernel::Checked<Settings> read(std::string_view text, const Overrides& overrides = {});

} // namespace wasabiroad::settings
