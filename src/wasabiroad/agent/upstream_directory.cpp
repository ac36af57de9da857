#include "wasabiroad/agent/upstream_directory.hpp"

#include "wasabiroad/kernel/isolation.hpp"
#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/kernel/overloaded.hpp"

namespace wasabiroad::agent {

using kernel::Duration;

namespace {

/** Wait of a watch call; upstreams report every 1.5 s, so a longer silence means a broken connection. */
constexpr Duration watchWait { 1500 };

/** Delay between an answer and the next watch, so that reports in quick succession share an answer. */
constexpr Duration batchDelay { 150 };

constexpr Duration retryInterval { 300 };

/** Time for a list with all its pages, in ms; a call that has no answer by then is given up. */
constexpr Duration listLimit { 30000 };

/** The same for a watch, whose calls end by themselves before. */
constexpr Duration watchLimit { 5000 };

} // namespace

UpstreamDirectory::UpstreamDirectory(boost::asio::io_context& context,
    std::shared_ptr<const ports::Fleet> fleetCalls, std::function<void()> changeHandler)
    : fleet(std::move(fleetCalls))
    , onChange(std::move(changeHandler))
    , timer(context)
{
}

void UpstreamDirectory::start()
{
    if (!this->running) {
        this->running = true;
        ++this->epoch;
        list();
    }
}

void UpstreamDirectory::stop()
{
    this->running = false;
    this->loaded = false;
    ++this->epoch;
    this->timer.cancel();
    this->facts.clear();
}

std::vector<scheduling::UpstreamFacts> UpstreamDirectory::upstreams() const
{
    std::vector<scheduling::UpstreamFacts> all;
    all.reserve(this->facts.size());
    for (const auto& [id, upstream] : this->facts) {
        all.push_back(*upstream);
    }
    return all;
}

void UpstreamDirectory::notify() const { kernel::runIsolated({ "chain", "upstreams" }, this->onChange); }

void UpstreamDirectory::awaitAnswer(Duration limit)
{
    this->timer.start(limit, [self = shared_from_this()] {
        kernel::logEvent("upstreams-not-answered");
        ++self->epoch;
        self->list();
    });
}

void UpstreamDirectory::list()
{
    awaitAnswer(listLimit);
    this->fleet->listUpstreams([self = shared_from_this(), epoch = this->epoch](
                                   const kernel::Expected<ports::UpstreamListing>& listing) {
        if (epoch != self->epoch) {
            return;
        }
        if (!listing) {
            kernel::logEvent("upstreams-not-listed",
                { { "code", number(listing.error().code) }, { "reason", listing.error().found } });
            self->timer.start(retryInterval, [self] { self->list(); });
            return;
        }
        self->answeredAt = kernel::bootNow();
        self->loaded = true;
        self->facts.clear();
        for (const auto& upstream : listing->upstreams) {
            self->facts.insert_or_assign(
                upstream.id, std::make_shared<const scheduling::UpstreamFacts>(upstream));
        }
        self->notify();
        // The handler may have stopped the directory.
        if (epoch == self->epoch) {
            self->watch(listing->asOf);
        }
    });
}

void UpstreamDirectory::watch(store::Revision after)
{
    awaitAnswer(watchLimit);
    this->fleet->watchUpstreams(after, watchWait,
        [self = shared_from_this(), after, epoch = this->epoch](const ports::UpstreamOutcome& outcome) {
            if (epoch != self->epoch) {
                return;
            }
            std::visit(kernel::Overloaded {
                           [&](const ports::UpstreamChanges& changes) {
                               self->onChanges(changes);
                               if (epoch != self->epoch) {
                                   return;
                               }
                               self->timer.start(batchDelay,
                                   [self, next = std::max(changes.asOf, after)] { self->watch(next); });
                           },
                           [&](const store::HistoryGone&) { self->list(); },
                           [&](const kernel::Error& error) {
                               kernel::logEvent("upstreams-not-watched",
                                   { { "code", number(error.code) }, { "reason", error.found } });
                               self->timer.start(retryInterval, [self, after] { self->watch(after); });
                           },
                       },
                outcome);
        });
}

void UpstreamDirectory::onChanges(const ports::UpstreamChanges& changes)
{
    this->answeredAt = kernel::bootNow();
    bool changed = false;
    for (const auto& upstream : changes.reported) {
        auto& known = this->facts[upstream.id];
        // Most reports only show that the upstream is alive.
        if (!known || *known != upstream) {
            known = std::make_shared<const scheduling::UpstreamFacts>(upstream);
            changed = true;
        }
    }
    for (const auto& id : changes.gone) {
        changed = this->facts.erase(id) != 0 || changed;
    }
    if (changed) {
        notify();
    }
}

} // namespace wasabiroad::agent
