#pragma once

#include "wasabiroad/kernel/clock.hpp"

#include <cstdint>
#include <optional>

namespace wasabiroad::routing {

/** @brief Whether an upstream receives requests or has been ejected for failures. */
enum class EjectionState : std::uint8_t {
    /** @brief Not ejected; all slots may be used. */
    Admitted,
    /** @brief After an ejection: one request at a time, until one succeeds. */
    Probing,
    /** @brief No request until the ejection ends. */
    Ejected,
};

/** @brief Health of one upstream, derived from the outcomes of attempts on it. */
class UpstreamHealth {
public:
    /** @brief Records a success, which ends an ejection. */
    void recordSuccess(kernel::Instant now);

    /** @brief Records a failure that is not attributed to the operation. */
    void recordFailure() { ++this->failures; }

    /** @return Whether the failures since the last success call for an ejection. */
    bool shouldEject() const;

    /** @brief Ejects the upstream; the duration doubles up to a maximum. @return End of the ejection. */
    kernel::Instant eject(kernel::Instant now);

    /** @brief Allows probes; called at the end of an ejection. */
    void allowProbe() { this->state = EjectionState::Probing; }

    EjectionState ejectionState() const { return this->state; }

    /** @return The last success, of any operation. */
    std::optional<kernel::Instant> lastSuccess() const { return this->success; }

private:
    EjectionState state { EjectionState::Admitted };
    std::uint32_t failures { 0 };
    std::uint32_t ejections { 0 };
    std::optional<kernel::Instant> ejectedAt {};
    std::optional<kernel::Instant> success {};
};

} // namespace wasabiroad::routing
