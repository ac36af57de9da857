#include "wasabiroad/settings/settings.hpp"

#include "wasabiroad/json/document.hpp"
#include "wasabiroad/json/reader.hpp"
#include "wasabiroad/settings/schema_text.hpp"

#include <charconv>
#include <cmath>
#include <set>

#include <boost/asio/ip/address.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace wasabiroad::settings {

using json::Reader;
using kernel::Error;
using kernel::Errors;
using kernel::ResultCode;

namespace {

boost::json::value parseOverride(const std::string& text)
{
    boost::system::error_code failed;
    auto value = boost::json::parse(text, failed);
    return failed ? boost::json::value(text) : value;
}

/** Sets the member that a pointer names, and makes the objects on the way to it. */
bool setMember(boost::json::value& document, std::string_view pointer, boost::json::value value)
{
    if (pointer.empty() || pointer.front() != '/') {
        return false;
    }
    auto* target = &document;
    while (!pointer.empty()) {
        pointer.remove_prefix(1);
        const auto key = pointer.substr(0, pointer.find('/'));
        pointer.remove_prefix(key.size());
        if (target->is_null()) {
            target->emplace_object();
        }
        if (!target->is_object() || key.empty()) {
            return false;
        }
        target = &target->get_object()[{ key.data(), key.size() }];
    }
    *target = std::move(value);
    return true;
}

kernel::Checked<std::string> applyOverrides(std::string_view text, const Overrides& overrides)
{
    boost::system::error_code failed;
    auto document = boost::json::parse({ text.data(), text.size() }, failed);
    if (failed) {
        return tl::unexpected(
            Errors { Error { ResultCode::InvalidJson, "", failed.message(), "well-formed JSON" } });
    }
    Errors errors;
    for (const auto& [pointer, value] : overrides) {
        if (!setMember(document, pointer, parseOverride(value))) {
            errors.emplace_back(Error {
                ResultCode::InvalidArguments, pointer, value, "a JSON pointer to a member, as in /entry" });
        }
    }
    if (!errors.empty()) {
        return tl::unexpected(std::move(errors));
    }
    return boost::json::serialize(document);
}

Limits readLimits(const boost::json::value* value)
{
    if (value == nullptr) {
        return {};
    }
    const Reader reader { *value };
    const Limits defaults;
    return {
        .headerBytes = reader.count("header-bytes", defaults.headerBytes),
        .bodyBytes = reader.count("body-bytes", defaults.bodyBytes),
        .headerTimeout = { reader.integer("header-timeout-ms", defaults.headerTimeout.milliseconds) },
        .idleTimeout = { reader.integer("idle-timeout-ms", defaults.idleTimeout.milliseconds) },
        .connections = reader.count("connections", defaults.connections),
        .platformTimeout = { reader.integer("platform-timeout-ms", defaults.platformTimeout.milliseconds) },
    };
}

PeerEntry readPeerEntry(const boost::json::value& value)
{
    const Reader reader { value };
    return { reader.id<model::EntryId>("entry"), reader.id<model::ZoneId>("zone"), reader.text("address"),
        reader.text("public-key") };
}

/** The schema limits the shape of an address; this check limits its numbers. */
bool isAddress(const std::string& text)
{
    const auto colon = text.rfind(':');
    const auto* const end = text.data() + text.size();
    std::uint16_t port = 0;
    boost::system::error_code failed;
    boost::asio::ip::make_address_v4(text.substr(0, colon), failed);
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    return !failed && parsed.ec == std::errc {} && parsed.ptr == end;
}

Errors checkPeers(const Peers& peers, const model::EntryId& self, const model::ZoneId& zone)
{
    Errors errors;
    std::set<std::string> seen;
    const auto unique = [&](const std::string& where, const std::string& value) {
        if (!seen.insert(value).second) {
            errors.emplace_back(
                Error { ResultCode::DuplicateIdentifier, where, value, "a value that no other entry has" });
        }
    };
    const auto address = [&](const std::string& where, const std::string& value) {
        if (!isAddress(value)) {
            errors.emplace_back(
                Error { ResultCode::ValueOutOfRange, where, value, "an IP address and a port" });
        }
    };
    address("/peers/listen", peers.listen);
    for (std::size_t index = 0; index < peers.entries.size(); ++index) {
        const auto& peer = peers.entries[index];
        const auto where = "/peers/entries/" + std::to_string(index);
        unique(where + "/entry", peer.entry.text());
        unique(where + "/address", peer.address);
        unique(where + "/public-key", peer.publicKey);
        address(where + "/address", peer.address);
        if (peer.entry == self && peer.zone != zone) {
            errors.emplace_back(
                Error { ResultCode::ValueOutOfRange, where + "/zone", peer.zone.text(), zone.text() });
        }
    }
    return errors;
}

std::optional<Peers> readPeers(const boost::json::value* value)
{
    if (value == nullptr) {
        return std::nullopt;
    }
    const Reader reader { *value };
    return Peers { reader.text("listen"), reader.text("secret-key"),
        reader.list<PeerEntry>("entries", readPeerEntry) };
}

VmCapacity readVm(const boost::json::value* value)
{
    if (value == nullptr) {
        return {};
    }
    const Reader reader { *value };
    const VmCapacity defaults {};
    constexpr double thousandths = 1000;
    return {
        .cpu
        = std::llround(thousandths * reader.number("cores", static_cast<double>(defaults.cpu) / thousandths)),
        .linkMbps = std::llround(reader.number("link-mbps", static_cast<double>(defaults.linkMbps))),
    };
}

std::optional<FleetAccess> readFleet(const boost::json::value* value)
{
    if (value == nullptr) {
        return std::nullopt;
    }
    const Reader reader { *value };
    const FleetAccess defaults {};
    return FleetAccess {
        .readiness = reader.text("readiness"),
        .vms = reader.text("vms"),
        .advice = reader.text("advice"),
        .taskLease = { reader.integer("task-lease-ms", defaults.taskLease.milliseconds) },
        .stopGrace = { reader.integer("stop-grace-ms", defaults.stopGrace.milliseconds) },
        .retention = { reader.integer("retention-ms", defaults.retention.milliseconds) },
        .orderGap = { reader.integer("order-gap-ms", defaults.orderGap.milliseconds) },
    };
}

/** The list of entries may be the same for all daemons, so each skips its own. */
Peers withoutSelf(const Peers& peers, const model::EntryId& self)
{
    std::vector<PeerEntry> others;
    for (const auto& peer : peers.entries) {
        if (peer.entry != self) {
            others.push_back(peer);
        }
    }
    return { peers.listen, peers.secretKey, std::move(others) };
}

} // namespace

kernel::Checked<Settings> read(std::string_view text, const Overrides& overrides)
{
    const auto merged = applyOverrides(text, overrides);
    if (!merged) {
        return tl::unexpected(merged.error());
    }
    const auto document = json::parseDocument(*merged, settingsSchema);
    if (!document) {
        return tl::unexpected(document.error());
    }
    const Reader reader { *document };
    const Settings defaults {};
    const auto entry = reader.id<model::EntryId>("entry");
    const auto zone = reader.id<model::ZoneId>("zone");
    const auto peers = readPeers(reader.find("peers"));
    if (peers) {
        if (auto errors = checkPeers(*peers, entry, zone); !errors.empty()) {
            return tl::unexpected(std::move(errors));
        }
    }
    return Settings {
        .entry = entry,
        .zone = zone,
        .callers = reader.text("callers"),
        .operators = reader.text("operators"),
        .platform = reader.text("platform"),
        .trafficThreads = reader.count("traffic-threads", defaults.trafficThreads),
        .limits = readLimits(reader.find("limits")),
        .peers = peers ? std::optional { withoutSelf(*peers, entry) } : std::nullopt,
        .fleet = readFleet(reader.find("fleet")),
        .vm = readVm(reader.find("vm")),
    };
}

} // namespace wasabiroad::settings
