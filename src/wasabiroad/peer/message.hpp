#pragma once

#include "wasabiroad/model/identifier.hpp"

#include <set>
#include <string>
#include <variant>

namespace wasabiroad::peer {

/** @brief Number of one message: the start of its sender and its place since then. */
struct Stamp {
    /** @brief Wall clock in milliseconds at the start of the sender. */
    const std::uint64_t incarnation { 0 };
    /** @brief Rises with each message of an incarnation; 0 means no message. */
    const std::uint64_t sequence { 0 };

    friend auto operator<=>(const Stamp&, const Stamp&) = default;
};

/** @brief Generation and digest of a configuration; 0 and empty when there is none. */
struct Version {
    const model::Generation generation {};
    /** @brief 32 hexadecimal digits. */
    const std::string digest {};

    friend auto operator<=>(const Version&, const Version&) = default;
};

/** @brief Sign of life that also announces the sender's configuration. */
struct Heartbeat {
    const Version configuration {};
    /** @brief The sender stops; it is removed at once. */
    const bool leaving { false };
    /** @brief Live entries in the sender's zone, itself included. */
    const std::uint32_t zoneEntries { 1 };
    /** @brief The sender's last call to the platform succeeded. */
    const bool platformReachable { false };
    /** @brief Last message that the sender received from the receiver. */
    const Stamp heard {};

    friend auto operator<=>(const Heartbeat&, const Heartbeat&) = default;
};

/** @brief Asks for the text of a configuration. */
struct ManifestRequest {
    const Version wanted;
    /** @brief Configuration of the requester. */
    const Version base {};

    friend auto operator<=>(const ManifestRequest&, const ManifestRequest&) = default;
};

/** @brief A text as a difference to a base: a prefix and a suffix of the base around a middle. */
struct TextDelta {
    const std::uint32_t prefix { 0 };
    const std::uint32_t suffix { 0 };
    const std::string middle {};

    friend auto operator<=>(const TextDelta&, const TextDelta&) = default;
};

/** @brief Answer to a request; an empty base digest means that the middle is the whole text. */
struct ManifestReply {
    const Version version;
    const std::string baseDigest {};
    const TextDelta delta {};

    friend auto operator<=>(const ManifestReply&, const ManifestReply&) = default;
};

/** @brief VMs that the platform's list marks as leaving, as the polling entry of a zone read it. */
struct LeavingVms {
    const std::set<model::VmId> vms {};

    friend auto operator<=>(const LeavingVms&, const LeavingVms&) = default;
};

using Body = std::variant<Heartbeat, ManifestRequest, ManifestReply, LeavingVms>;

/** @brief A message between daemons. */
struct Envelope {
    const model::EntryId sender;
    const model::ZoneId zone;
    const Stamp stamp;
    const Body body;

    friend auto operator<=>(const Envelope&, const Envelope&) = default;
};

} // namespace wasabiroad::peer
