#pragma once

#include "wasabiroad/kernel/error.hpp"
#include "wasabiroad/peer/membership.hpp"

namespace wasabiroad::peer {

/** @brief A configuration text with its version. */
struct VersionedText {
    const Version version {};
    const std::string text {};

    friend auto operator<=>(const VersionedText&, const VersionedText&) = default;
};

using TextPointer = std::shared_ptr<const VersionedText>;

/** @brief The decision to ask a peer for a text. */
struct Ask {
    const model::EntryId peer;
    const ManifestRequest request;

    friend auto operator<=>(const Ask&, const Ask&) = default;
};

/** @brief Decides whom to ask for a configuration and what to answer; without I/O. */
class Spread {
public:
    /** Time for an answer, after which another peer is asked. */
    static constexpr kernel::Duration answerWithin { 1000 };
    /** Time for which a peer that gave no or a wrong answer is passed over. */
    static constexpr kernel::Duration avoidFor { 5000 };
    /** Time for which a text that was rejected is not fetched again. */
    static constexpr kernel::Duration rejectedFor { 60000 };

    /** @brief Takes over a text that came into force; the one before stays as a base for differences. */
    void adopt(VersionedText text);

    /** @return Version of the text in force. */
    Version version() const { return this->current ? this->current->version : Version {}; }

    /** @return What to ask now, if anything; peers of the own zone are asked first. */
    std::optional<Ask> next(kernel::Instant now, const Membership& membership);

    /** @return The answer to a request, or nothing when this daemon does not have the text. */
    std::optional<ManifestReply> answer(const ManifestRequest& request) const;

    /**
     * @brief Makes the text from an answer to the open request.
     * @return The text; whoever adopts it checks its digest. Errors: PeerMessageInvalid for an answer
     * that was not asked for or that does not fit the base.
     */
    kernel::Expected<VersionedText> complete(
        kernel::Instant now, const model::EntryId& sender, const ManifestReply& reply);

    /** @brief Notes that an intact text was not adopted. */
    void reject(kernel::Instant now, const Version& version);

    /** @brief Passes over a peer for a while. */
    void avoid(kernel::Instant now, const model::EntryId& peer);

private:
    bool isCandidate(kernel::Instant now, const PeerView& peer) const;

    TextPointer current {};
    TextPointer previous {};
    std::shared_ptr<const Ask> open {};
    kernel::Instant deadline {};
    std::map<model::EntryId, kernel::Instant> avoidedUntil {};
    std::map<std::string, kernel::Instant> rejectedUntil {};
};

} // namespace wasabiroad::peer
