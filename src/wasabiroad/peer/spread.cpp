#include "wasabiroad/peer/spread.hpp"

#include "wasabiroad/peer/delta.hpp"
#include "wasabiroad/routing/rendezvous.hpp"

#include <tuple>

namespace wasabiroad::peer {

using kernel::Instant;
using kernel::ResultCode;

namespace {

bool isActive(const std::map<std::string, Instant>& until, const std::string& key, Instant now)
{
    const auto found = until.find(key);
    return found != until.end() && now < found->second;
}

} // namespace

void Spread::adopt(VersionedText text)
{
    this->previous = std::move(this->current);
    this->current = std::make_shared<const VersionedText>(std::move(text));
    this->rejectedUntil.clear();
}

bool Spread::isCandidate(Instant now, const PeerView& peer) const
{
    const auto& offered = peer.heartbeat.configuration;
    const auto avoided = this->avoidedUntil.find(peer.name.entry);
    return (peer.state == PeerState::Live || peer.state == PeerState::Joining)
        && offered.generation > version().generation && !isActive(this->rejectedUntil, offered.digest, now)
        && (avoided == this->avoidedUntil.end() || avoided->second <= now);
}

std::optional<Ask> Spread::next(Instant now, const Membership& membership)
{
    if (this->open && this->open->request.wanted.generation <= version().generation) {
        this->open = nullptr;
    }
    if (this->open) {
        if (now < this->deadline) {
            return std::nullopt;
        }
        avoid(now, this->open->peer);
        this->open = nullptr;
    }
    std::optional<PeerView> best;
    const auto rank = [&](const PeerView& peer) {
        return std::tuple { peer.heartbeat.configuration.generation, peer.name.zone == membership.self().zone,
            routing::rendezvousScore(membership.self().entry.text(), peer.name.entry.text()) };
    };
    for (const auto& peer : membership.views()) {
        if (isCandidate(now, peer) && (!best || rank(*best) < rank(peer))) {
            best.emplace(peer);
        }
    }
    if (!best) {
        return std::nullopt;
    }
    this->open
        = std::make_shared<const Ask>(Ask { best->name.entry, { best->heartbeat.configuration, version() } });
    this->deadline = now + answerWithin;
    return *this->open;
}

std::optional<ManifestReply> Spread::answer(const ManifestRequest& request) const
{
    if (!this->current || this->current->version.generation < request.wanted.generation) {
        return std::nullopt;
    }
    // A newer text than the one that was asked for serves the requester better.
    const auto& text = *this->current;
    for (const auto& base : { this->previous, this->current }) {
        if (base && base->version == request.base) {
            return ManifestReply { text.version, base->version.digest, makeDelta(base->text, text.text) };
        }
    }
    return ManifestReply { text.version, {}, { 0, 0, text.text } };
}

kernel::Expected<VersionedText> Spread::complete(
    Instant now, const model::EntryId& sender, const ManifestReply& reply)
{
    if (!this->open || this->open->peer != sender
        || reply.version.generation < this->open->request.wanted.generation) {
        return kernel::fail(ResultCode::PeerMessageInvalid, "manifest_reply",
            std::to_string(reply.version.generation.value), "an answer to the open request");
    }
    this->open = nullptr;
    const bool isWhole = reply.baseDigest.empty();
    if (!isWhole && reply.baseDigest != version().digest) {
        // The own text changed between request and answer; the next request names the new base.
        return kernel::fail(
            ResultCode::PeerMessageInvalid, "manifest_reply.base_digest", reply.baseDigest, version().digest);
    }
    auto text = isWhole ? kernel::Expected<std::string> { reply.delta.middle }
                        : applyDelta(this->current->text, reply.delta);
    if (!text) {
        avoid(now, sender);
        return tl::unexpected(text.error());
    }
    return VersionedText { reply.version, std::move(*text) };
}

void Spread::reject(Instant now, const Version& version)
{
    this->rejectedUntil.insert_or_assign(version.digest, now + rejectedFor);
}

void Spread::avoid(Instant now, const model::EntryId& peer)
{
    this->avoidedUntil.insert_or_assign(peer, now + avoidFor);
}

} // namespace wasabiroad::peer
