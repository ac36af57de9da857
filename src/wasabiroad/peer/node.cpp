#include "wasabiroad/peer/node.hpp"

#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/kernel/overloaded.hpp"
#include "wasabiroad/peer/codec.hpp"
#include "wasabiroad/peer/describe.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wasabiroad::peer {

using kernel::logEvent;
using kernel::ResultCode;
using model::EntryId;

namespace {

/** With the platform's own lag, a leaving VM gets no new work within 3 s. */
constexpr kernel::Duration vmInterval { 1000 };
/** Members are judged twice per interval, so that a killed peer is removed within 3 s of its end. */
constexpr kernel::Duration tickInterval { 250 };
/** Ticks between two repetitions of the list of leaving VMs and of the message counts: 5 s. */
constexpr std::uint64_t repeatTicks = 20;

/** A connection without a known key is tried again several times a second; the log takes one line. */
constexpr kernel::Duration rejectedLogInterval { 10000 };
constexpr std::size_t maxRejectedAddresses = 256;

/** True at each tick at which the messages of one kind of link are due. */
bool isDue(std::uint64_t tick, const Timing& timing)
{
    return tick % static_cast<std::uint64_t>(timing.interval.milliseconds / tickInterval.milliseconds) == 0;
}

kernel::Instant steadyNow() { return kernel::now(kernel::SteadyClock {}); }

Self selfOf(const settings::Settings& settings)
{
    const auto start = kernel::now(kernel::WallClock {}).milliseconds;
    return { settings.entry, settings.zone, static_cast<std::uint64_t>(start) };
}

std::vector<PeerName> namesOf(const settings::Settings& settings)
{
    std::vector<PeerName> names;
    if (settings.peers) {
        for (const auto& peer : settings.peers->entries) {
            names.emplace_back(PeerName { peer.entry, peer.zone });
        }
    }
    return names;
}

TransportOptions transportOptionsOf(const settings::Peers& peers)
{
    std::map<EntryId, PeerAddress> addresses;
    for (const auto& peer : peers.entries) {
        addresses.emplace(peer.entry, PeerAddress { peer.address, peer.publicKey });
    }
    return { peers.listen, peers.secretKey, std::move(addresses) };
}

control::HeadPolicy headPolicyOf(const WatchRole& role)
{
    return std::visit(kernel::Overloaded {
                          [](const Learner&) { return control::HeadPolicy { control::PollHead {} }; },
                          [](const auto&) { return control::HeadPolicy { control::HoldWatch {} }; },
                      },
        role);
}

} // namespace

Node::Node(kernel::Kernel& daemonKernel)
    : kernel(daemonKernel)
    , settings(daemonKernel.find<const settings::Settings>())
    , metrics(daemonKernel.find<metrics::Metrics>())
    , follower(daemonKernel.find<control::ConfigurationFollower>())
    , store(daemonKernel.find<const platform::Store>())
    , membership(selfOf(*this->settings), namesOf(*this->settings))
    , timer(daemonKernel.threads().control())
    , vmTimer(daemonKernel.threads().control())
{
}

kernel::Expected<void> Node::start()
{
    auto& bus = this->kernel.bus();
    bus.subscribe<platform::Called>([this](const platform::Called& called) {
        this->platformReachable = platform::isReachable(called.code);
        this->metrics->count("wasabiroad_platform_calls_total", { { "cause", called.cause } });
    });
    bus.subscribe<control::ConfigurationAdopted>([this](const control::ConfigurationAdopted& event) {
        const auto& adopted = *event.configuration;
        this->spread.adopt({ { adopted.generation, adopted.digest }, adopted.text });
        announce(true);
    });
    if (this->settings->peers) {
        this->transport = std::make_unique<Transport>(
            this->kernel.threads().control(), transportOptionsOf(*this->settings->peers),
            [this](const EntryId& sender, std::string_view bytes) { receive(sender, bytes); },
            [this](const std::string& address) { reportRejected(address); });
        const auto address = this->transport->start();
        if (!address) {
            return tl::unexpected(address.error());
        }
        logEvent("listening", { { "listener", "peers" }, { "address", *address } });
        boost::asio::post(this->kernel.threads().control(), [this] { tick(); });
    }
    boost::asio::co_spawn(this->kernel.threads().control(), pollVms(), boost::asio::detached);
    return {};
}

void Node::leave()
{
    this->leaving = true;
    announce(true);
}

void Node::stop()
{
    this->leaving = true;
    this->timer.cancel();
    this->vmTimer.cancel();
    if (this->transport) {
        this->transport->stop();
    }
}

void Node::scheduleTick()
{
    this->timer.expires_after(tickInterval.chrono());
    this->timer.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) {
            tick();
        }
    });
}

void Node::tick()
{
    if (this->leaving) {
        return;
    }
    const auto now = steadyNow();
    Changes changes;
    this->membership.advance(now, changes);
    closeUnusedLinks(now);
    if (isDue(this->ticks, zoneTiming)) {
        announce(isDue(this->ticks, linkTiming));
    }
    ask();
    settle(changes);
    if (++this->ticks % repeatTicks == 0) {
        countMessages();
        sendLeaving();
    }
    scheduleTick();
}

void Node::closeUnusedLinks(kernel::Instant now)
{
    const auto& chosen = this->links.update(now, this->membership);
    for (const auto& peer : this->membership.views()) {
        const auto& id = peer.name.entry;
        if (peer.name.zone != this->settings->zone && !chosen.contains(id)
            && !this->membership.isHeard(now, id)) {
            this->transport->close(id);
        }
    }
}

void Node::announce(bool withLinks)
{
    if (!this->transport) {
        return;
    }
    const auto now = steadyNow();
    const auto& chosen = this->links.current();
    const auto stamp = ++this->sequence;
    this->membership.noteSent(stamp, now);
    for (const auto& peer : this->membership.views()) {
        const auto& id = peer.name.entry;
        const bool isInZone = peer.name.zone == this->settings->zone;
        const bool isLinked = withLinks && (chosen.contains(id) || this->membership.isHeard(now, id));
        if (isInZone || isLinked) {
            sendStamped(id, stamp, heartbeatFor(id));
        }
    }
}

Heartbeat Node::heartbeatFor(const EntryId& peer) const
{
    return {
        .configuration = this->spread.version(),
        .leaving = this->leaving,
        .zoneEntries = static_cast<std::uint32_t>(this->membership.zoneMembers().size()),
        .platformReachable = this->platformReachable,
        .heard = this->membership.find(peer)->heard,
    };
}

bool Node::send(const EntryId& peer, Body body)
{
    const auto stamp = ++this->sequence;
    this->membership.noteSent(stamp, steadyNow());
    return sendStamped(peer, stamp, std::move(body));
}

bool Node::sendStamped(const EntryId& peer, std::uint64_t stamp, Body body)
{
    const auto& self = this->membership.self();
    const Envelope envelope { self.entry, self.zone, { self.incarnation, stamp }, std::move(body) };
    return this->transport && this->transport->send(peer, encode(envelope));
}

void Node::ask()
{
    const auto decision = this->spread.next(steadyNow(), this->membership);
    if (!decision) {
        return;
    }
    const bool sent = send(decision->peer, decision->request);
    logEvent("configuration-requested",
        { { "peer", decision->peer.text() }, { "generation", decision->request.wanted.generation.value },
            { "base", decision->request.base.generation.value }, { "sent", sent ? "yes" : "no" } });
}

void Node::settle(const Changes& changes)
{
    for (const auto& change : changes) {
        logChange(change);
        if (const auto* const joined = std::get_if<Joined>(&change)) {
            if (std::holds_alternative<Watcher>(this->role)) {
                send(joined->peer, LeavingVms { this->leavingVms });
            }
        }
    }
    const control::MembershipChanged members { this->membership.zoneMembers(),
        this->membership.siteEntries() };
    if (members != *this->published) {
        this->published = std::make_shared<const control::MembershipChanged>(members);
        logEvent("membership-changed",
            { { "zone-entries", members.zoneEntries.size() }, { "site-entries", members.entriesInSite } });
        this->kernel.bus().publish(members);
    }
    decideRole();
}

void Node::decideRole()
{
    const auto decided = roleOf(this->membership, this->platformReachable);
    if (decided == this->role) {
        return;
    }
    const bool isPolicyNew = headPolicyOf(decided) != headPolicyOf(this->role);
    this->role = decided;
    logEvent("watch-role-changed", { { "role", name(this->role) } });
    if (isPolicyNew) {
        this->kernel.bus().publish(control::HeadPolicyChanged { headPolicyOf(this->role) });
    }
}

void Node::reportRejected(const std::string& address)
{
    this->metrics->count("wasabiroad_peer_rejected_total", {});
    const auto now = steadyNow();
    std::erase_if(this->rejectedUntil, [&](const auto& entry) { return entry.second <= now; });
    if (this->rejectedUntil.size() >= maxRejectedAddresses
        || !this->rejectedUntil.try_emplace(address, now + rejectedLogInterval).second) {
        return;
    }
    const auto code = ResultCode::PeerUnauthenticated;
    logEvent("peer-rejected",
        { { "address", address }, { "code", number(code) }, { "reason", kernel::name(code) } });
}

void Node::receive(const EntryId& sender, std::string_view bytes)
{
    const auto envelope = decode(bytes);
    const auto known = this->membership.find(sender);
    if (!envelope || !known || envelope->sender != sender || envelope->zone != known->name.zone) {
        const auto code = envelope ? ResultCode::PeerUnauthenticated : envelope.error().code;
        this->metrics->count("wasabiroad_peer_invalid_total", {});
        logEvent("peer-message-rejected",
            { { "peer", sender.text() }, { "code", number(code) }, { "reason", kernel::name(code) },
                { "where", envelope ? "sender" : envelope.error().where } });
        return;
    }
    Changes changes;
    const auto admission = this->membership.admit(steadyNow(), sender, envelope->stamp, changes);
    if (admission != Admission::Accepted) {
        logEvent("peer-message-ignored",
            { { "peer", sender.text() }, { "reason", name(admission) },
                { "incarnation", envelope->stamp.incarnation }, { "sequence", envelope->stamp.sequence } });
        return;
    }
    if (!changes.empty()) {
        settle(changes);
    }
    std::visit([&](const auto& body) { handle(sender, body); }, envelope->body);
}

void Node::handle(const EntryId& sender, const Heartbeat& heartbeat)
{
    Changes changes;
    this->membership.apply(steadyNow(), sender, heartbeat, changes);
    ask();
    settle(changes);
}

void Node::handle(const EntryId& sender, const ManifestRequest& request)
{
    const auto reply = this->spread.answer(request);
    logEvent("configuration-answered",
        { { "peer", sender.text() }, { "generation", request.wanted.generation.value },
            { "bytes", reply ? reply->delta.middle.size() : 0 }, { "found", reply ? "yes" : "no" } });
    if (reply) {
        send(sender, *reply);
    }
}

void Node::handle(const EntryId& sender, const ManifestReply& reply)
{
    const auto text = this->spread.complete(steadyNow(), sender, reply);
    if (!text) {
        logEvent("configuration-answer-rejected",
            { { "peer", sender.text() }, { "code", number(text.error().code) },
                { "where", text.error().where } });
        return;
    }
    const control::Head head { text->version.generation, text->version.digest };
    const auto adopted = this->follower->offer(head, text->text);
    if (adopted || adopted.error().code == ResultCode::StaleGeneration) {
        return;
    }
    if (adopted.error().code == ResultCode::DigestMismatch) {
        this->spread.avoid(steadyNow(), sender);
    } else {
        this->spread.reject(steadyNow(), text->version);
    }
}

void Node::handle(const EntryId& sender, const LeavingVms& leaving)
{
    const auto peer = this->membership.find(sender);
    const bool isInZone = peer && peer->name.zone == this->settings->zone;
    if (isInZone && !std::holds_alternative<Watcher>(this->role)) {
        takeLeaving(leaving.vms);
    }
}

boost::asio::awaitable<void> Node::pollVms()
{
    while (!this->leaving) {
        this->vmTimer.expires_after(vmInterval.chrono());
        boost::system::error_code cancelled;
        co_await this->vmTimer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
        if (cancelled || !std::holds_alternative<Watcher>(this->role)) {
            continue;
        }
        const auto listed = co_await platform::listVms(*this->store);
        if (!listed) {
            continue;
        }
        std::set<model::VmId> vms;
        for (const auto& vm : *listed) {
            if (vm.leaving) {
                vms.emplace(vm.id);
            }
        }
        const bool isNew = vms != this->leavingVms;
        takeLeaving(std::move(vms));
        if (isNew) {
            sendLeaving();
        }
    }
}

void Node::takeLeaving(std::set<model::VmId> vms)
{
    if (vms == this->leavingVms) {
        return;
    }
    this->leavingVms = std::move(vms);
    logEvent("leaving-vms-changed", { { "vms", this->leavingVms.size() } });
    this->kernel.bus().publish(control::LeavingVmsChanged { this->leavingVms });
}

void Node::sendLeaving()
{
    if (!std::holds_alternative<Watcher>(this->role)) {
        return;
    }
    for (const auto& member : this->membership.zoneMembers()) {
        if (member != this->membership.self().entry) {
            send(member, LeavingVms { this->leavingVms });
        }
    }
}

void Node::countMessages()
{
    const auto counts = this->transport->counts();
    const auto& before = *this->counted;
    const auto add = [&](const char* name, std::uint64_t value, std::uint64_t old) {
        this->metrics->count(name, {}, static_cast<double>(value - old));
    };
    add("wasabiroad_peer_sent_messages_total", counts.sentMessages, before.sentMessages);
    add("wasabiroad_peer_sent_bytes_total", counts.sentBytes, before.sentBytes);
    add("wasabiroad_peer_received_messages_total", counts.receivedMessages, before.receivedMessages);
    add("wasabiroad_peer_received_bytes_total", counts.receivedBytes, before.receivedBytes);
    add("wasabiroad_peer_dropped_messages_total", counts.dropped, before.dropped);
    this->counted = std::make_shared<const TransportCounts>(counts);
    this->metrics->set(
        "wasabiroad_peer_zone_entries", {}, static_cast<double>(this->published->zoneEntries.size()));
    this->metrics->set("wasabiroad_peer_site_entries", {}, this->published->entriesInSite);
}

} // namespace wasabiroad::peer
