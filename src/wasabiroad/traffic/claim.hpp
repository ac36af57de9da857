#pragma once

#include "wasabiroad/platform/store.hpp"

#include <variant>

namespace wasabiroad::traffic {

/** @brief The claim is held by the attempt that asked for it; only this attempt may send the request. */
struct Claimed {
    friend auto operator<=>(const Claimed&, const Claimed&) = default;
};

/** @brief Another attempt holds the claim; the request may have run. */
struct ClaimedByOther {
    friend auto operator<=>(const ClaimedByOther&, const ClaimedByOther&) = default;
};

/** @brief It is not known who holds the claim, so that the request must not be sent. */
struct ClaimUnavailable {
    const kernel::ResultCode code;

    friend auto operator<=>(const ClaimUnavailable&, const ClaimUnavailable&) = default;
};

using ClaimResult = std::variant<Claimed, ClaimedByOther, ClaimUnavailable>;

/** @return Key of the claim of a request; a service's name contains no slash. */
std::string claimKey(const std::string& service, const std::string& request);

/**
 * @brief Creates a claim in the platform if it is absent.
 *
 * When the answer to the write is lost, the key is read back. If it is absent then, the write can
 * still take effect later; the claim then stays unused, which only blocks repeats of the request.
 * @param store Store; each of the at most two calls is bounded by `timeout`.
 * @param attempt Identifier that no other attempt has.
 */
boost::asio::awaitable<ClaimResult> claim(
    platform::Store store, std::string key, std::string attempt, kernel::Duration timeout);

} // namespace wasabiroad::traffic
