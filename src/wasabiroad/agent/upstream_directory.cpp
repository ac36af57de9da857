#include "wasabiroad/agent/upstream_directory.hpp"

#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/kernel/overloaded.hpp"

namespace wasabiroad::agent {

using kernel::Duration;

namespace {

/** Wait of a watch; upstreams report each 1.5 s, so a longer silence means a broken connection. */
constexpr Duration watchWait { 1500 };

/** Pause between an answer and the next watch: reports that come within it share an answer. */
constexpr Duration gatherTime { 150 };

constexpr Duration retryInterval { 300 };

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
        ++this->round;
        list();
    }
}

void UpstreamDirectory::stop()
{
    this->running = false;
    this->known = false;
    ++this->round;
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

void UpstreamDirectory::list()
{
    this->fleet->listUpstreams([self = shared_from_this(), round = this->round](
                                   const kernel::Expected<ports::UpstreamListing>& listing) {
        if (round != self->round) {
            return;
        }
        if (!listing) {
            kernel::logEvent("upstreams-not-listed",
                { { "code", number(listing.error().code) }, { "reason", listing.error().found } });
            self->timer.start(retryInterval, [self] { self->list(); });
            return;
        }
        self->answeredAt = kernel::bootNow();
        self->known = true;
        self->facts.clear();
        for (const auto& upstream : listing->upstreams) {
            self->facts.insert_or_assign(
                upstream.id, std::make_shared<const scheduling::UpstreamFacts>(upstream));
        }
        self->onChange();
        self->watch(listing->asOf);
    });
}

void UpstreamDirectory::watch(store::Revision after)
{
    this->fleet->watchUpstreams(after, watchWait,
        [self = shared_from_this(), after, round = this->round](const ports::UpstreamOutcome& outcome) {
            if (round != self->round) {
                return;
            }
            std::visit(kernel::Overloaded {
                           [&](const ports::UpstreamChanges& changes) {
                               self->onChanges(changes);
                               self->timer.start(gatherTime,
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
        // Most reports only show that the upstream lives.
        if (!known || *known != upstream) {
            known = std::make_shared<const scheduling::UpstreamFacts>(upstream);
            changed = true;
        }
    }
    for (const auto& id : changes.gone) {
        changed = this->facts.erase(id) != 0 || changed;
    }
    if (changed) {
        this->onChange();
    }
}

} // namespace wasabiroad::agent
