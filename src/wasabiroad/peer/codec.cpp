#include "wasabiroad/peer/codec.hpp"

#include "wasabiroad/kernel/overloaded.hpp"
#include "wasabiroad/peer/generated/peer.pb.h"

#include <algorithm>

#include <boost/algorithm/hex.hpp>

namespace wasabiroad::peer {

using kernel::ResultCode;

namespace {

constexpr std::uint32_t protocolVersion = 1;
constexpr std::size_t digestBytes = 16;
/** More VMs than a site has; it bounds what one message can make a daemon hold. */
constexpr int maxLeavingVms = 10000;

std::string packDigest(const std::string& digest) { return boost::algorithm::unhex(digest); }
std::string unpackDigest(const std::string& bytes) { return boost::algorithm::hex_lower(bytes); }

void fill(wire::Envelope& target, const Heartbeat& heartbeat)
{
    auto& body = *target.mutable_heartbeat();
    body.set_generation(heartbeat.configuration.generation.value);
    body.set_digest(packDigest(heartbeat.configuration.digest));
    body.set_leaving(heartbeat.leaving);
    body.set_zone_entries(heartbeat.zoneEntries);
    body.set_platform_reachable(heartbeat.platformReachable);
    body.set_heard_incarnation(heartbeat.heard.incarnation);
    body.set_heard_sequence(heartbeat.heard.sequence);
}

void fill(wire::Envelope& target, const ManifestRequest& request)
{
    auto& body = *target.mutable_manifest_request();
    body.set_generation(request.wanted.generation.value);
    body.set_digest(packDigest(request.wanted.digest));
    body.set_base_generation(request.base.generation.value);
    body.set_base_digest(packDigest(request.base.digest));
}

void fill(wire::Envelope& target, const ManifestReply& reply)
{
    auto& body = *target.mutable_manifest_reply();
    body.set_generation(reply.version.generation.value);
    body.set_digest(packDigest(reply.version.digest));
    body.set_base_digest(packDigest(reply.baseDigest));
    body.set_prefix(reply.delta.prefix);
    body.set_suffix(reply.delta.suffix);
    body.set_middle(reply.delta.middle);
}

void fill(wire::Envelope& target, const LeavingVms& leaving)
{
    auto& body = *target.mutable_leaving_vms();
    for (const auto& vm : leaving.vms) {
        body.add_vms(vm.text());
    }
}

tl::unexpected<kernel::Error> invalid(std::string where, std::string found, std::string allowed)
{
    return kernel::fail(
        ResultCode::PeerMessageInvalid, std::move(where), std::move(found), std::move(allowed));
}

/** The same rule as the pattern `id` of the schemas. */
bool isIdentifier(const std::string& text)
{
    constexpr std::size_t longest = 63;
    const auto isAllowed
        = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    return !text.empty() && text.size() <= longest && text.front() != '-'
        && std::ranges::all_of(text, isAllowed);
}

bool isVersion(std::uint64_t generation, const std::string& digest)
{
    return generation == 0 ? digest.empty() : digest.size() == digestBytes;
}

bool isStamp(std::uint64_t incarnation, std::uint64_t sequence)
{
    return (incarnation == 0) == (sequence == 0);
}

Version versionOf(std::uint64_t generation, const std::string& digest)
{
    return { { generation }, unpackDigest(digest) };
}

kernel::Expected<Body> read(const wire::Heartbeat& body)
{
    if (!isVersion(body.generation(), body.digest())) {
        return invalid(
            "heartbeat.digest", std::to_string(body.digest().size()), "16 bytes, or none for generation 0");
    }
    if (body.zone_entries() == 0) {
        return invalid("heartbeat.zone_entries", "0", "at least 1");
    }
    if (!isStamp(body.heard_incarnation(), body.heard_sequence())) {
        return invalid("heartbeat.heard", "one number", "both numbers or none");
    }
    return Body { Heartbeat { versionOf(body.generation(), body.digest()), body.leaving(),
        body.zone_entries(), body.platform_reachable(),
        { body.heard_incarnation(), body.heard_sequence() } } };
}

kernel::Expected<Body> read(const wire::ManifestRequest& body)
{
    if (body.generation() == 0 || !isVersion(body.generation(), body.digest())
        || !isVersion(body.base_generation(), body.base_digest())) {
        return invalid("manifest_request", std::to_string(body.generation()), "a generation and its digest");
    }
    return Body { ManifestRequest { versionOf(body.generation(), body.digest()),
        versionOf(body.base_generation(), body.base_digest()) } };
}

kernel::Expected<Body> read(const wire::ManifestReply& body)
{
    if (body.generation() == 0 || !isVersion(body.generation(), body.digest())) {
        return invalid("manifest_reply", std::to_string(body.generation()), "a generation and its digest");
    }
    const bool isWhole = body.base_digest().empty();
    if ((!isWhole && body.base_digest().size() != digestBytes)
        || (isWhole && (body.prefix() != 0 || body.suffix() != 0))) {
        return invalid("manifest_reply.base_digest", std::to_string(body.base_digest().size()),
            "16 bytes, or none for a whole text");
    }
    return Body { ManifestReply { versionOf(body.generation(), body.digest()),
        unpackDigest(body.base_digest()), { body.prefix(), body.suffix(), body.middle() } } };
}

kernel::Expected<Body> read(const wire::LeavingVms& body)
{
    if (body.vms_size() > maxLeavingVms) {
        return invalid(
            "leaving_vms", std::to_string(body.vms_size()), "at most " + std::to_string(maxLeavingVms));
    }
    std::set<model::VmId> vms;
    for (const auto& vm : body.vms()) {
        if (!isIdentifier(vm)) {
            return invalid("leaving_vms.vms", std::to_string(vm.size()) + " bytes", "an identifier");
        }
        vms.emplace(vm);
    }
    return Body { LeavingVms { std::move(vms) } };
}

kernel::Expected<Body> readBody(const wire::Envelope& message)
{
    switch (message.body_case()) {
    case wire::Envelope::kHeartbeat:
        return read(message.heartbeat());
    case wire::Envelope::kManifestRequest:
        return read(message.manifest_request());
    case wire::Envelope::kManifestReply:
        return read(message.manifest_reply());
    case wire::Envelope::kLeavingVms:
        return read(message.leaving_vms());
    case wire::Envelope::BODY_NOT_SET:
        break;
    }
    return invalid("body", "none", "one body");
}

} // namespace

std::string encode(const Envelope& envelope)
{
    wire::Envelope message;
    message.set_protocol(protocolVersion);
    message.set_sender(envelope.sender.text());
    message.set_zone(envelope.zone.text());
    message.set_incarnation(envelope.stamp.incarnation);
    message.set_sequence(envelope.stamp.sequence);
    std::visit([&](const auto& body) { fill(message, body); }, envelope.body);
    return message.SerializeAsString();
}

kernel::Expected<Envelope> decode(std::string_view bytes)
{
    wire::Envelope message;
    if (bytes.size() > maxMessageBytes
        || !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return invalid("", std::to_string(bytes.size()) + " bytes", "protobuf of schema/peer.proto");
    }
    if (message.protocol() != protocolVersion) {
        return invalid("protocol", std::to_string(message.protocol()), std::to_string(protocolVersion));
    }
    if (!isIdentifier(message.sender()) || !isIdentifier(message.zone())) {
        return invalid("sender", std::to_string(message.sender().size()) + " bytes", "identifiers");
    }
    if (message.incarnation() == 0 || message.sequence() == 0) {
        return invalid("sequence", "0", "at least 1");
    }
    auto body = readBody(message);
    if (!body) {
        return tl::unexpected(body.error());
    }
    return Envelope { model::EntryId { message.sender() }, model::ZoneId { message.zone() },
        { message.incarnation(), message.sequence() }, *body };
}

} // namespace wasabiroad::peer
