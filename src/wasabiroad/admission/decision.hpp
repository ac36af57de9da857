#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/kernel/result_code.hpp"
#include "wasabiroad/model/identifier.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace wasabiroad::admission {

/** @brief Number of a submitted request in one dispatcher; unique for the dispatcher's lifetime. */
struct Handle {
    std::uint64_t value { 0 };

    friend auto operator<=>(const Handle&, const Handle&) = default;
};

/** @brief Assigns a slot of an upstream to one attempt of a request. */
struct Grant {
    const Handle handle;
    const model::VmId vm;
    /** @brief IP address and port of the upstream. */
    const std::string address;
    /** @brief Connections that this daemon may open to the upstream. */
    const std::uint32_t connections { 0 };
    /** @brief Sequence number of the snapshot that the decision is based on. */
    const std::uint64_t snapshot { 0 };
    /** @brief Number of upstreams that had a free slot for the request. */
    const std::uint32_t candidates { 0 };
    /** @brief Why this upstream was chosen. */
    const std::string reason {};

    friend auto operator<=>(const Grant&, const Grant&) = default;
};

/** @brief The request did not run and will not. */
struct Refusal {
    const Handle handle;
    const kernel::ResultCode code;
    /** @brief Time after which the caller may try again; 0 when a retry cannot help. */
    const kernel::Duration retryAfter {};
    const std::uint64_t snapshot { 0 };
    const std::string reason {};

    friend auto operator<=>(const Refusal&, const Refusal&) = default;
};

/** @brief The request may have run; its outcome is unknown and it is not retried. */
struct Unresolved {
    const Handle handle;
    const kernel::ResultCode code;
    const std::uint64_t snapshot { 0 };
    const std::string reason {};

    friend auto operator<=>(const Unresolved&, const Unresolved&) = default;
};

/** @brief Decision about one submitted request; a request without a decision is still queued. */
using Decision = std::variant<Grant, Refusal, Unresolved>;

/** @return Handle of the request that a decision is about. */
inline Handle handleOf(const Decision& decision)
{
    return std::visit([](const auto& alternative) { return alternative.handle; }, decision);
}

} // namespace wasabiroad::admission
