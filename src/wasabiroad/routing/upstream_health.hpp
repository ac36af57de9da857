#pragma once

#include "wasabiroad/kernel/clock.hpp"

#include <cstdint>
#include <optional>

namespace wasabiroad::routing {

/** @brief Whether an upstream receives requests. */
enum class EjectionState : std::uint8_t {
    /** @brief All slots may be used. */
    Admitted,
    /** @brief One request at a time shows whether the upstream has recovered. */
    Probing,
    /** @brief No request until the ejection ends. */
    Ejected,
};

/** @brief Health of one upstream, from the outcomes of attempts there. */
class UpstreamHealth {
public:
    /** @brief Records a success; it ends an ejection. */
    void recordSuccess(kernel::Instant now);

    /** @brief Records a failure that the operation is not blamed for. */
    void recordFailure() { ++this->failures; }

    /** @return Whether failures without a success call for an ejection. */
    bool shouldEject() const;

    /** @brief Ejects the upstream, each time for twice as long. @return End of the ejection. */
    kernel::Instant eject(kernel::Instant now);

    /** @brief Lets probes through after the end of an ejection. */
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
