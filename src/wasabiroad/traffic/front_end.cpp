#include "wasabiroad/traffic/front_end.hpp"

#include "wasabiroad/http/endpoint.hpp"
#include "wasabiroad/kernel/log.hpp"

#include <array>
#include <cerrno>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <linux/filter.h>
#include <sys/socket.h>

namespace wasabiroad::traffic {

namespace asio = boost::asio;
using asio::ip::tcp;
using kernel::ResultCode;

namespace {

/** Time in which answers close their connections before the listeners close. */
constexpr kernel::Duration lameDuck { 500 };
/**
 * Time between the last new connection and the close of the listeners. Handshakes that have begun
 * end in it; a listener that closes would reset them and cut off their requests.
 */
constexpr kernel::Duration settleTime { 200 };
/** A connection without a request for this time is closed; a new one may have its request on the way. */
constexpr kernel::Duration idleGrace { 250 };
constexpr kernel::Duration drainPoll { 10 };

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/**
 * Drops segments that open a connection, so that callers find another daemon, while those of
 * handshakes in progress pass. The offset is that of the flags in the TCP header.
 */
void refuseHandshakes(tcp::acceptor& acceptor)
{
    constexpr unsigned flagsOffset = 13;
    constexpr unsigned syn = 0x02;
    constexpr unsigned synAndAck = 0x12;
    constexpr unsigned passAll = 0xffffffff;
    std::array<sock_filter, 5> program { sock_filter BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flagsOffset),
        sock_filter BPF_STMT(BPF_ALU | BPF_AND | BPF_K, synAndAck),
        sock_filter BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, syn, 0, 1), sock_filter BPF_STMT(BPF_RET | BPF_K, 0),
        sock_filter BPF_STMT(BPF_RET | BPF_K, passAll) };
    const sock_fprog filter { static_cast<unsigned short>(program.size()), program.data() };
    if (::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter)) != 0) {
        kernel::logEvent("listener-filter-failed", { { "error", errno } });
    }
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

TicketSecret randomSecret()
{
    std::random_device device;
    std::array<unsigned char, TicketSecret::length> bytes {};
    for (auto& byte : bytes) {
        byte = static_cast<unsigned char>(device());
    }
    return { bytes };
}

} // namespace

FrontEnd::FrontEnd(kernel::Threads& daemonThreads, const settings::Settings& daemonSettings,
    metrics::Metrics& daemonMetrics, const platform::Store& store)
    : threads(daemonThreads)
    , settings(daemonSettings)
    , incarnation(randomSeed())
    , port(daemonThreads.traffic(0), this->clock, randomSeed(),
          TicketBook { daemonSettings.entry, this->incarnation, randomSecret() })
    , environment { this->port, daemonSettings.limits, this->clock, store }
    , progress(daemonThreads.trafficCount())
{
    for (std::size_t index = 0; index < this->threads.trafficCount(); ++index) {
        auto& context = this->threads.traffic(index);
        const auto prefix = this->settings.entry.text() + "-" + hexadecimal(this->incarnation) + "-"
            + std::to_string(index) + "-";
        const std::shared_ptr<ThreadState> thread { new ThreadState { .context = context,
            .pool = UpstreamPool { context },
            .metrics = RequestMetrics { daemonMetrics },
            .idPrefix = prefix } };
        this->lanes.push_back(std::unique_ptr<Lane>(
            new Lane { thread, tcp::acceptor { context }, asio::steady_timer { context } }));
    }
}

kernel::Expected<std::string> FrontEnd::bind(Lane& lane, const tcp::endpoint& endpoint)
{
    boost::system::error_code failed;
    lane.acceptor.open(endpoint.protocol(), failed);
    lane.acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
    lane.acceptor.set_option(ReusePort(true), failed);
    lane.acceptor.bind(endpoint, failed);
    if (!failed) {
        lane.acceptor.listen(asio::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        return kernel::fail(
            ResultCode::ListenFailed, http::toText(endpoint), failed.message(), "a free local address");
    }
    asio::co_spawn(lane.thread->context, accept(lane), asio::detached);
    return http::toText(lane.acceptor.local_endpoint());
}

kernel::Expected<std::string> FrontEnd::listen(const std::string& address)
{
    auto endpoint = http::parseEndpoint(address);
    if (!endpoint) {
        return tl::unexpected(endpoint.error());
    }
    // The first lane resolves port 0; the others share its port.
    auto bound = *endpoint;
    for (auto& lane : this->lanes) {
        if (auto result = bind(*lane, bound); !result) {
            return result;
        }
        bound = lane->acceptor.local_endpoint();
    }
    return http::toText(bound);
}

void FrontEnd::observeLeaving(DispatchPort::LeavingObserver observer)
{
    this->port.observeLeaving([this, observer = std::move(observer)](const model::VmId& vm) {
        asio::post(this->threads.control(), [observer, vm] { observer(vm); });
    });
}

void FrontEnd::subscribe(kernel::Publisher<model::RoutingSnapshot>& publisher, InUseObserver observer)
{
    for (std::size_t index = 0; index < this->lanes.size(); ++index) {
        auto& lane = *this->lanes[index];
        publisher.subscribe(kernel::postTo(lane.thread->context),
            [this, &lane, index, observer](const model::RoutingSnapshotPointer& snapshot) {
                lane.thread->snapshot = snapshot;
                lane.thread->pool.limit(idleLimits(*snapshot, this->lanes.size()));
                if (index == 0) {
                    this->port.update(snapshot);
                }
                kernel::logEvent(
                    "snapshot-in-use", { { "thread", index }, { "snapshot", snapshot->sequence } });
                asio::post(this->threads.control(), [this, index, sequence = snapshot->sequence, observer] {
                    if (const auto inUse = this->progress.report(index, sequence)) {
                        observer(*inUse);
                    }
                });
            });
    }
}

asio::awaitable<void> FrontEnd::accept(Lane& lane)
{
    while (lane.acceptor.is_open()) {
        boost::system::error_code failed;
        auto socket = co_await lane.acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failed));
        if (!failed) {
            serve(lane, std::move(socket));
        }
    }
}

void FrontEnd::serve(Lane& lane, tcp::socket socket)
{
    const auto limit = std::max<std::size_t>(1, this->settings.limits.connections / this->lanes.size());
    if (lane.thread->sessions >= limit) {
        kernel::logEvent("connection-refused", { { "reason", "connection-limit" }, { "limit", limit } });
        return;
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto session = Session::create(std::move(socket), lane.thread, this->environment);
    auto* const key = session.get();
    lane.sessions.emplace(key, session);
    asio::co_spawn(lane.thread->context, session->run(),
        [&lane, key](const std::exception_ptr&) { lane.sessions.erase(key); });
}

void FrontEnd::acceptPending(Lane& lane)
{
    boost::system::error_code failed;
    lane.acceptor.cancel(failed);
    lane.acceptor.non_blocking(true, failed);
    while (!failed) {
        tcp::socket socket { lane.thread->context };
        lane.acceptor.accept(socket, failed);
        if (!failed) {
            serve(lane, std::move(socket));
        }
    }
    lane.acceptor.close(failed);
}

asio::awaitable<void> FrontEnd::drainLane(Lane& lane)
{
    lane.thread->closing = true;
    lane.timer.expires_after(lameDuck.chrono());
    co_await lane.timer.async_wait(asio::use_awaitable);
    refuseHandshakes(lane.acceptor);
    lane.timer.expires_after(settleTime.chrono());
    co_await lane.timer.async_wait(asio::use_awaitable);
    acceptPending(lane);
    if (&lane == this->lanes.front().get()) {
        this->port.refuseAll(ResultCode::Stopping);
    }
    while (!lane.sessions.empty()) {
        for (const auto& [key, weak] : lane.sessions) {
            if (const auto session = weak.lock()) {
                session->closeIfIdle(kernel::now(this->clock) - idleGrace);
            }
        }
        lane.timer.expires_after(drainPoll.chrono());
        co_await lane.timer.async_wait(asio::use_awaitable);
    }
    lane.thread->pool.clear();
}

void FrontEnd::laneDrained(const std::function<void()>& done)
{
    if (--this->lanesToDrain == 0) {
        done();
    }
}

void FrontEnd::drain(std::function<void()> done)
{
    this->lanesToDrain = this->lanes.size();
    for (auto& lane : this->lanes) {
        asio::co_spawn(lane->thread->context, drainLane(*lane), [this, done](const std::exception_ptr&) {
            asio::post(this->threads.control(), [this, done] { laneDrained(done); });
        });
    }
}

} // namespace wasabiroad::traffic
