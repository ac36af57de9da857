#include "world.hpp"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <iostream>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace asio = boost::asio;
namespace base64 = boost::beast::detail::base64;
namespace soak = wasabiroad::soak;
using soak::bodyOf;
using soak::numberField;
using soak::pathOf;
using soak::queryValue;
using soak::textField;

namespace {

constexpr milliseconds tick { 10 };
constexpr milliseconds storeLatency { 4 };
constexpr std::size_t pageItems = 500;
constexpr std::size_t listedEnds = 500;
constexpr milliseconds patience { 3000 };

std::string toBase64(const std::string& bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string fromBase64(const std::string& text)
{
    std::string bytes(base64::decoded_size(text.size()), '\0');
    bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
}

/** @return A free port of a loopback address that only this process and its daemons use. */
std::string freeAddress()
{
    constexpr int span = 250;
    const auto process = getpid();
    const auto address
        = "127.79." + std::to_string(process / span % span + 1) + "." + std::to_string(process % span + 1);
    asio::io_context context;
    const asio::ip::tcp::acceptor probe { context,
        asio::ip::tcp::endpoint { asio::ip::make_address(address), 0 } };
    return address + ":" + std::to_string(probe.local_endpoint().port());
}

} // namespace

void Journal::write(const std::string& line)
{
    this->output << nowMs() << " ms: " << line << "\n";
    this->output.flush();
}

void Journal::violate(const std::string& rule, const std::string& detail)
{
    this->broken.push_back(rule + ": " + detail);
    write("BROKEN " + this->broken.back());
}

Store::Store(asio::io_context& io, Bounds given, std::int64_t firstRevision)
    : context(io)
    , bounds(given)
    , revision(firstRevision)
    , lastLease(1000)
{
    soak::start(io, work());
}

std::string Store::addEntrance()
{
    this->entrances.push_back(std::make_unique<Server>(
        this->context, [this](Request request) { return answer(std::move(request)); }));
    return this->entrances.back()->address();
}

void Store::put(const std::string& key, const std::string& value)
{
    putItem(key, value, 0, ++this->revision);
}

void Store::remove(const std::string& key) { removeItem(key, ++this->revision); }

std::string Store::find(const std::string& key) const
{
    const auto found = this->items.find(key);
    return found != this->items.end() ? found->second.value : "";
}

Task<std::optional<Answer>> Store::answer(Request request)
{
    co_await soak::pause(storeLatency);
    if (pathOf(request) == "/kv-watch") {
        auto events = co_await watch(std::move(request));
        co_return events;
    }
    co_return act(request);
}

Task<Answer> Store::watch(Request request)
{
    const auto prefix = queryValue(request, "prefix");
    const auto after = std::stoll(queryValue(request, "after"));
    const auto until = soak::Clock::now() + milliseconds { std::stoll(queryValue(request, "waitMs")) };
    const auto watcher = this->watchers.insert(
        this->watchers.end(), Watcher { prefix, asio::steady_timer { this->context } });
    json::array events;
    unsigned status = 200;
    while (true) {
        if (after < this->forgotten) {
            status = 410;
            break;
        }
        for (auto event = std::ranges::upper_bound(this->history, after, {}, &Event::revision);
             event != this->history.end(); ++event) {
            if (event->key.starts_with(prefix)) {
                events.push_back(event->content);
            }
        }
        if (!events.empty() || soak::Clock::now() >= until) {
            break;
        }
        watcher->changed.expires_at(until);
        co_await watcher->changed.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    this->watchers.erase(watcher);
    co_return Answer { status,
        json::serialize(json::object { { "events", std::move(events) }, { "asOf", this->revision } }) };
}

Task<> Store::work()
{
    while (true) {
        co_await soak::pause(tick);
        expire();
        while (!this->history.empty() && nowMs() - this->history.front().time > this->bounds.history) {
            this->forgotten = this->history.front().revision;
            this->history.pop_front();
        }
    }
}

void Store::expire()
{
    std::set<std::int64_t> ended;
    std::erase_if(this->leases, [&](const auto& entry) {
        const bool over = entry.second.ends <= nowMs();
        if (over) {
            ended.insert(entry.first);
        }
        return over;
    });
    if (ended.empty()) {
        return;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
        if (ended.contains(item.lease)) {
            keys.push_back(key);
        }
    }
    for (const auto& key : keys) {
        removeItem(key, ++this->revision);
    }
}

Answer Store::act(const Request& request)
{
    const std::string keep = "/kv-keep/";
    const std::string end = "/kv-lease-end/";
    const auto path = pathOf(request);
    expire();
    if (path == "/kv-key") {
        return read(request);
    }
    if (path == "/kv-range") {
        return list(request);
    }
    if (path == "/kv-txn") {
        return change(request);
    }
    if (path == "/kv-lease") {
        const auto lifetime = numberField(bodyOf(request), "ttlMs");
        this->leases[++this->lastLease] = { lifetime, nowMs() + lifetime };
        return { 200, json::serialize(json::object { { "lease", this->lastLease }, { "ttlMs", lifetime } }) };
    }
    if (path.starts_with(keep)) {
        const auto found = this->leases.find(std::stoll(path.substr(keep.size())));
        if (found == this->leases.end()) {
            return { 404, "{}" };
        }
        found->second.ends = nowMs() + found->second.lifetime;
        return { 200, json::serialize(json::object { { "ttlMs", found->second.lifetime } }) };
    }
    if (path.starts_with(end)) {
        if (const auto found = this->leases.find(std::stoll(path.substr(end.size())));
            found != this->leases.end()) {
            found->second.ends = 0;
            expire();
        }
        return {};
    }
    return { 404, "{}" };
}

Answer Store::read(const Request& request) const
{
    const auto key = queryValue(request, "key");
    const auto found = this->items.find(key);
    if (found == this->items.end()) {
        return { 404, json::serialize(json::object { { "asOf", this->revision } }) };
    }
    const auto& item = found->second;
    return { 200,
        json::serialize(
            json::object { { "key", key }, { "value", toBase64(item.value) }, { "revision", item.revision },
                { "created", item.created }, { "lease", item.lease }, { "asOf", this->revision } }) };
}

Answer Store::list(const Request& request) const
{
    const auto prefix = queryValue(request, "prefix");
    const auto after = queryValue(request, "after");
    json::array found;
    bool truncated = false;
    for (auto item = after.empty() ? this->items.lower_bound(prefix) : this->items.upper_bound(after);
         item != this->items.end() && item->first.starts_with(prefix); ++item) {
        if (found.size() == pageItems) {
            truncated = true;
            break;
        }
        const auto& content = item->second;
        found.push_back(json::object { { "key", item->first }, { "value", toBase64(content.value) },
            { "revision", content.revision }, { "created", content.created }, { "lease", content.lease } });
    }
    return { 200,
        json::serialize(json::object {
            { "items", std::move(found) }, { "truncated", truncated }, { "asOf", this->revision } }) };
}

Answer Store::change(const Request& request)
{
    const auto body = bodyOf(request);
    const auto rows = [&body](const char* name) {
        const auto* const value = body.if_contains(name);
        return value != nullptr && value->is_array() ? value->get_array() : json::array {};
    };
    json::array current;
    bool holds = true;
    for (const auto& row : rows("expectedRev")) {
        const auto key = textField(row.as_object(), "key");
        const auto found = this->items.find(key);
        const auto actual = found != this->items.end() ? found->second.revision : 0;
        holds = holds && actual == numberField(row.as_object(), "revision");
        if (found != this->items.end()) {
            const auto& item = found->second;
            current.push_back(json::object { { "key", key }, { "value", toBase64(item.value) },
                { "revision", item.revision }, { "created", item.created }, { "lease", item.lease } });
        }
    }
    if (!holds) {
        return { 412, json::serialize(json::object { { "items", std::move(current) } }) };
    }
    for (const auto& row : rows("puts")) {
        const auto lease = numberField(row.as_object(), "lease");
        if (lease != 0 && !this->leases.contains(lease)) {
            return { 404, "{}" };
        }
    }
    const auto made = ++this->revision;
    for (const auto& row : rows("puts")) {
        const auto& entry = row.as_object();
        putItem(textField(entry, "key"), fromBase64(textField(entry, "value")), numberField(entry, "lease"),
            made);
    }
    for (const auto& key : rows("remove")) {
        removeItem(std::string { key.as_string() }, made);
    }
    return { 200, json::serialize(json::object { { "revision", made } }) };
}

void Store::putItem(const std::string& key, const std::string& value, std::int64_t lease, std::int64_t at)
{
    auto& item = this->items[key];
    item = { value, at, item.created != 0 ? item.created : at, lease };
    note(key, at,
        { { "key", key }, { "value", toBase64(value) }, { "revision", at }, { "created", item.created },
            { "lease", lease } });
}

void Store::removeItem(const std::string& key, std::int64_t at)
{
    if (this->items.erase(key) != 0) {
        note(key, at, { { "key", key }, { "revision", at }, { "tombstone", true } });
    }
}

void Store::note(const std::string& key, std::int64_t at, json::object content)
{
    this->history.push_back({ at, nowMs(), key, std::move(content) });
    for (auto& watcher : this->watchers) {
        if (key.starts_with(watcher.prefix)) {
            watcher.changed.cancel();
        }
    }
}

std::string Ledger::stepName(const std::string& task) { return task.substr(0, task.rfind('.')); }

const Step* Ledger::stepOf(const std::string& task) const
{
    const auto job = this->all.find(task.substr(0, task.find('.')));
    if (job == this->all.end()) {
        return nullptr;
    }
    const auto step = stepName(task);
    const auto number = std::stoul(step.substr(step.rfind('.') + 1));
    return number < job->second.steps.size() ? &job->second.steps[number] : nullptr;
}

void Ledger::begin(const std::string& life, const std::string& task, std::int64_t run)
{
    ++this->started;
    this->log.write(life + " starts " + task + " run " + std::to_string(run));
    auto& runs = this->active[task];
    if (!runs.empty()) {
        this->log.violate("TWICE",
            task + " is started on " + life + " while run " + std::to_string(runs.front().run) + " is on "
                + runs.front().life);
    }
    if (this->noted.contains(task)) {
        this->log.violate("TWICE", task + " is started on " + life + " after its end was taken note of");
    }
    runs.push_back({ life, run });
    const auto* const step = stepOf(task);
    if (this->failed[task].size() >= maxAttempts) {
        this->log.violate(
            "BUDGET", task + " is started after " + std::to_string(maxAttempts) + " failed runs");
    }
    if (step != nullptr) {
        checkOrder(task, *step);
        checkRoom(life, task);
    }
    if (step != nullptr && step->perServer > 0) {
        int here = 0;
        const auto name = stepName(task);
        for (const auto& [other, others] : this->active) {
            if (stepName(other) == name) {
                here += static_cast<int>(std::ranges::count(others, life, &Active::life));
            }
        }
        if (here > step->perServer) {
            this->log.violate("ROUTE",
                task + " is task " + std::to_string(here) + " of its step on " + life + ", maxPerServer is "
                    + std::to_string(step->perServer));
        }
    }
}

void Ledger::checkOrder(const std::string& task, const Step& step) const
{
    const auto own = stepName(task);
    const auto occurrence = own.substr(0, own.rfind('.'));
    const auto& steps = this->all.at(task.substr(0, task.find('.'))).steps;
    for (const auto before : step.after) {
        const auto count = steps[static_cast<std::size_t>(before)].count;
        for (int index = 0; index < count; ++index) {
            const auto other = occurrence + "." + std::to_string(before) + "." + std::to_string(index);
            if (!this->ended.contains(other)) {
                this->log.violate("ORDER", task + " is started before " + other + " is done");
                return;
            }
        }
    }
}

void Ledger::checkRoom(const std::string& life, const std::string& task) const
{
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    for (const auto& [other, runs] : this->active) {
        const auto here = std::ranges::count(runs, life, &Active::life);
        if (const auto* const step = here > 0 ? stepOf(other) : nullptr) {
            cpu += here * step->cpu;
            memory += here * step->memory;
        }
    }
    if (cpu > workerCpu || memory > workerMemory) {
        this->log.violate("LIMIT",
            task + " brings " + life + " to " + std::to_string(cpu) + " thousandths of a core and "
                + std::to_string(memory) + " MB");
    }
}

void Ledger::end(const std::string& life, const std::string& task, std::int64_t run, const std::string& how)
{
    this->log.write(life + " ends " + task + " run " + std::to_string(run) + " " + how);
    std::erase_if(
        this->active[task], [&](const Active& item) { return item.life == life && item.run == run; });
    if (how == "done") {
        const auto* const step = stepOf(task);
        for (int index = 0; step != nullptr && step->gang && index < step->count; ++index) {
            this->ended.insert(stepName(task) + "." + std::to_string(index));
        }
        this->ended.insert(task);
    }
}

void Ledger::lose(const std::string& life)
{
    for (auto& [task, runs] : this->active) {
        std::erase_if(runs, [&](const Active& item) { return item.life == life; });
    }
}

void Ledger::note(const std::string& task, std::int64_t run, const std::string& how)
{
    if (how == "done") {
        this->noted.insert(task);
    } else if (how == "failed") {
        this->failed[task].insert(run);
    }
}

int Ledger::present(const std::string& step, std::int64_t run) const
{
    int count = 0;
    for (const auto& [task, runs] : this->active) {
        if (stepName(task) == step) {
            count += static_cast<int>(std::ranges::count(runs, run, &Active::run));
        }
    }
    return count;
}

WorkerServer::WorkerServer(asio::io_context& io, soak::Handler answer)
    : handler(std::move(answer))
    , acceptor(io, asio::ip::tcp::endpoint { asio::ip::address_v4::loopback(), 0 })
    , text("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()))
{
    soak::start(io, accept());
}

void WorkerServer::reset()
{
    for (auto* const socket : this->sockets) {
        boost::system::error_code ignored;
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
}

Task<> WorkerServer::accept()
{
    while (true) {
        auto [failed, socket] = co_await this->acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (!failed) {
            socket.set_option(asio::ip::tcp::no_delay(true));
            soak::start(static_cast<asio::io_context&>(this->acceptor.get_executor().context()),
                serve(std::move(socket)));
        }
    }
}

Task<> WorkerServer::serve(asio::ip::tcp::socket socket)
{
    namespace http = boost::beast::http;
    struct Registration {
        Registration(std::set<asio::ip::tcp::socket*>& all, asio::ip::tcp::socket& added)
            : sockets(all)
            , socket(added)
        {
            this->sockets.insert(&this->socket);
        }
        ~Registration() { this->sockets.erase(&this->socket); }
        std::set<asio::ip::tcp::socket*>& sockets;
        asio::ip::tcp::socket& socket;
    };
    const Registration registration { this->sockets, socket };
    const auto own = this->life;
    boost::beast::flat_buffer buffer;
    bool silent = this->dropping;
    while (true) {
        Request request;
        const auto [unread, size]
            = co_await http::async_read(socket, buffer, request, asio::as_tuple(asio::use_awaitable));
        if (unread) {
            co_return;
        }
        silent = silent || this->dropping;
        if (silent) {
            continue;
        }
        if (own != this->life) {
            boost::system::error_code ignored;
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
            co_return;
        }
        const auto answer = co_await this->handler(std::move(request));
        if (!answer || this->dropping || own != this->life) {
            silent = true;
            continue;
        }
        http::response<http::string_body> response { http::int_to_status(answer->status), 11 };
        response.set(http::field::content_type, "application/json");
        response.keep_alive(true);
        response.body() = answer->body;
        response.prepare_payload();
        const auto [unsent, sent]
            = co_await http::async_write(socket, response, asio::as_tuple(asio::use_awaitable));
        if (unsent) {
            co_return;
        }
    }
}

Worker::Worker(asio::io_context& io, Store& metadata, Ledger& rules, std::string id, std::string pool,
    std::string kind, std::string rack)
    : context(io)
    , store(metadata)
    , ledger(rules)
    , name(std::move(id))
    , machineName("m" + name)
    , service(std::move(pool))
    , label(std::move(kind))
    , rackName(std::move(rack))
    , dice(std::hash<std::string> {}(name))
    , born(soak::unixMs())
    , startedAt(nowMs())
    , server(io, [this](Request request) { return answer(std::move(request)); })
{
    publish();
    soak::start(io, work());
    soak::start(io, beat());
}

void Worker::publish()
{
    this->store.put("servers/" + this->name,
        json::serialize(json::object { { "service", this->service }, { "address", this->server.address() },
            { "zone", "hall-a" }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" },
            { "coldRemainingMs", 0 },
            { "capacity", { { "cpu", workerCpu }, { "memMb", workerMemory }, { "gpu", 0 } } },
            { "labels", { this->label, this->rackName } }, { "clockMs", clock() }, { "born", this->born },
            { "seq", ++this->sequence } }));
}

void Worker::cut(bool isCut)
{
    this->ledger.journal().write(life() + (isCut ? " is cut off" : " is reached again"));
    this->server.drop(isCut);
}

void Worker::crash(bool silent)
{
    this->ledger.journal().write(life() + " crashes");
    this->up = false;
    this->ledger.lose(life());
    this->runs.clear();
    this->ends.clear();
    this->changed.notify();
    this->server.drop(true);
    if (!silent) {
        this->server.reset();
    }
}

void Worker::revive(const std::string& newKind, milliseconds entryLag)
{
    ++this->incarnation;
    this->label = newKind;
    this->born = soak::unixMs();
    this->startedAt = nowMs();
    this->lastRuns.clear();
    this->lastEnd = 0;
    this->fence = 0;
    this->leaseEnd = 0;
    this->sequence = 0;
    this->registered = false;
    this->server.drop(false);
    this->server.forget();
    this->up = true;
    this->ledger.journal().write(life() + " is up, kind " + newKind);
    soak::start(this->context, publishLater(entryLag));
}

Task<> Worker::publishLater(milliseconds delay)
{
    co_await soak::pause(delay);
    if (this->up) {
        this->ledger.journal().write(life() + " registers, kind " + this->label);
        this->registered = true;
        publish();
    }
}

Task<> Worker::beat()
{
    while (true) {
        co_await soak::pause(milliseconds { this->ledger.bounds().heartbeat });
        if (this->up && this->registered) {
            publish();
        }
    }
}

Task<> Worker::work()
{
    while (true) {
        co_await soak::pause(tick);
        if (this->up) {
            advance();
        }
    }
}

void Worker::advance()
{
    const bool lapsed = clock() > this->leaseEnd;
    const auto current = this->runs;
    for (const auto& [task, running] : current) {
        if (lapsed || (running.stops != 0 && nowMs() >= running.stops)) {
            endRun(task, lapsed ? "lapsed" : "stopped");
            continue;
        }
        if (running.step.gang) {
            const auto present = this->ledger.present(Ledger::stepName(task), running.run);
            if (running.works == 0) {
                if (present == running.step.count) {
                    this->runs.at(task).works = nowMs();
                } else if (nowMs() - running.present > this->ledger.bounds().gangWait) {
                    endRun(task, "alone");
                }
                continue;
            }
            const bool complete = nowMs() - running.works >= running.step.duration;
            if (!complete && present < running.step.count) {
                endRun(task, "broken");
                continue;
            }
        }
        if (nowMs() - running.works >= running.step.duration) {
            endRun(task, running.fails ? "failed" : "done");
        }
    }
}

void Worker::endRun(const std::string& task, const std::string& how)
{
    const auto run = this->runs.at(task).run;
    this->runs.erase(task);
    this->ends[++this->lastEnd] = { task, run, how, this->lapses };
    auto& last = this->lastRuns[task];
    last = std::max(last, run);
    this->ledger.end(life(), task, run, how);
    this->changed.notify();
}

Task<std::optional<Answer>> Worker::answer(Request request)
{
    if (!this->up) {
        co_return std::nullopt;
    }
    const auto target = request["Wasabiroad-Target-Instance"];
    if (!target.empty() && target != this->name) {
        co_return Answer { 421, "{}" };
    }
    const auto path = pathOf(request);
    if (path == "/health") {
        co_return Answer {};
    }
    const auto body = bodyOf(request);
    const auto token = numberField(body, "fencingToken");
    if (token < this->fence) {
        co_return refuse("fence");
    }
    this->fence = token;
    advance();
    if (path == "/run-start") {
        co_return begin(body);
    }
    if (path == "/run-stop") {
        co_return stop(body);
    }
    if (path != "/hold") {
        co_return accept();
    }
    if (const auto until = numberField(body, "untilMs"); until != 0) {
        extendLease(until);
    }
    const auto last = this->ends.upper_bound(numberField(body, "ackedUpto"));
    for (auto end = this->ends.begin(); end != last; ++end) {
        if (end->second.lapses == this->lapses) {
            this->ledger.note(end->second.task, end->second.run, end->second.how);
        }
    }
    this->ends.erase(this->ends.begin(), last);
    const auto before = this->incarnation;
    const auto until = soak::Clock::now() + milliseconds { numberField(body, "waitMs") };
    while (this->ends.empty() && this->up && soak::Clock::now() < until) {
        co_await this->changed.wait(until);
    }
    if (!this->up || before != this->incarnation) {
        co_return std::nullopt;
    }
    co_return list();
}

Answer Worker::begin(const json::object& body)
{
    const auto task = textField(body, "task");
    const auto run = numberField(body, "run");
    const auto* const step = this->ledger.stepOf(task);
    if (step == nullptr) {
        this->ledger.journal().violate("UNASKED", task + " is started, and no client sent it");
        return { 400, "{}" };
    }
    if (numberField(body, "untilMs") <= clock()) {
        return refuse("late");
    }
    extendLease(numberField(body, "untilMs"));
    const auto found = this->runs.find(task);
    if (found != this->runs.end() && found->second.run == run) {
        return accept();
    }
    const auto last = this->lastRuns.find(task);
    if (found != this->runs.end() || (last != this->lastRuns.end() && run <= last->second)) {
        return refuse("old");
    }
    this->runs[task] = { run, nowMs(), step->gang ? 0 : nowMs(), *step, 0, this->dice.chance(step->fails) };
    this->ledger.begin(life(), task, run);
    if (!step->label.empty() && step->label != this->label && step->label != this->rackName) {
        this->ledger.journal().violate("ROUTE",
            task + " requires " + step->label + " and is started on " + life() + ", whose labels are "
                + this->label + " and " + this->rackName);
    }
    return accept();
}

Answer Worker::stop(const json::object& body)
{
    const auto task = textField(body, "task");
    const auto run = numberField(body, "run");
    auto& last = this->lastRuns[task];
    last = std::max(last, run);
    const auto found = this->runs.find(task);
    if (found != this->runs.end() && found->second.run <= run && found->second.stops == 0) {
        found->second.stops = nowMs() + this->dice.within(0, this->ledger.bounds().stop);
    }
    return accept();
}

Answer Worker::list()
{
    json::array running;
    for (const auto& [task, run] : this->runs) {
        const auto worked = run.works == 0 ? 0 : nowMs() - run.works;
        running.push_back(json::array { task, run.run, "",
            std::min<std::int64_t>(99, worked * 100 / std::max<std::int64_t>(1, run.step.duration)),
            run.step.cpu });
    }
    json::array ended;
    for (const auto& [number, end] : this->ends) {
        if (ended.size() == listedEnds) {
            break;
        }
        ended.push_back(json::array { number, end.task, end.run, end.how, "" });
    }
    return { 200,
        json::serialize(json::object { { "clockMs", clock() }, { "born", this->born },
            { "runningTasks", std::move(running) }, { "ended", std::move(ended) } }) };
}

Answer Worker::accept() const
{
    return { 200, json::serialize(json::object { { "clockMs", clock() }, { "born", this->born } }) };
}

Answer Worker::refuse(const std::string& reason) const
{
    return { 409,
        json::serialize(
            json::object { { "clockMs", clock() }, { "born", this->born }, { "reason", reason } }) };
}

void Worker::extendLease(std::int64_t until)
{
    if (clock() > this->leaseEnd) {
        ++this->lapses;
    }
    this->leaseEnd = std::max(this->leaseEnd, std::min(until, clock() + this->ledger.bounds().maxHold));
}

Daemon::Daemon(std::string program, std::string folder, std::string name, std::string zone)
    : programPath(std::move(program))
    , folderPath(std::move(folder))
    , entry(std::move(name))
    , zoneName(std::move(zone))
    , callerAddress(freeAddress())
    , readinessAddress(freeAddress())
{
}

void Daemon::launch(const std::string& platform, const std::string& vms, const Bounds& bounds)
{
    const json::object settings { { "version", 1 }, { "entry", this->entry }, { "zone", this->zoneName },
        { "callers", this->callerAddress }, { "operators", freeAddress() }, { "platform", platform },
        { "traffic-threads", 1 }, { "vm", { { "cores", 0.25 }, { "link-mbps", 1000.0 } } },
        { "fleet",
            { { "readiness", this->readinessAddress }, { "vms", vms }, { "advice", "" },
                { "task-lease-ms", bounds.maxHold }, { "stop-grace-ms", bounds.grace },
                { "retention-ms", bounds.status }, { "order-gap-ms", bounds.lease } } } };
    const auto path = this->folderPath + "/" + this->entry + ".json";
    std::ofstream { path } << json::serialize(settings);
    execute();
}

void Daemon::relaunch()
{
    kill();
    execute();
}

void Daemon::execute()
{
    const auto path = this->folderPath + "/" + this->entry + ".json";
    const auto log = this->folderPath + "/" + this->entry + ".log";
    const auto variable = "WASABIROAD_BOOT=" + path;
    this->process = fork();
    if (this->process == 0) {
        // No daemon outlives this process.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        const char* const arguments[]
            = { this->programPath.c_str(), "--settings-variable", "WASABIROAD_BOOT", nullptr };
        const char* const environment[] = { variable.c_str(), nullptr };
        execve(arguments[0], const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
        _exit(127);
    }
}

void Daemon::signal(int number) const
{
    if (this->process > 0) {
        ::kill(this->process, number);
    }
}

void Daemon::kill()
{
    if (this->process > 0) {
        signal(SIGKILL);
        waitpid(this->process, nullptr, 0);
        this->process = 0;
    }
}

bool Daemon::hasEnded()
{
    if (this->process <= 0 || waitpid(this->process, nullptr, WNOHANG) <= 0) {
        return false;
    }
    this->process = 0;
    return true;
}

std::int64_t Daemon::processorTime() const
{
    clockid_t clock {};
    timespec used {};
    if (this->process <= 0 || clock_getcpuclockid(this->process, &clock) != 0
        || clock_gettime(clock, &used) != 0) {
        return 0;
    }
    return used.tv_sec * 1000 + used.tv_nsec / 1000000;
}

World::World(asio::io_context& io, const std::string& program, const std::string& folder, Journal& journal,
    std::int64_t firstRevision)
    : context(io)
    , programPath(program)
    , folderPath(folder)
    , log(journal)
    , rules(journal, limits)
    , metadata(io, limits, firstRevision)
    , cloud(io, [this](Request request) { return answerCloud(std::move(request)); })
{
}

Task<std::optional<Answer>> World::answerCloud(Request request)
{
    if (pathOf(request) != "/machines") {
        co_return Answer { 409, R"({"reason":"busy"})" };
    }
    json::array rows;
    for (const auto& worker : this->machines) {
        rows.push_back({ { "machine", worker->machine() }, { "pool", worker->pool() },
            { "state", worker->isUp() ? "up" : "down" }, { "zone", "hall-a" },
            { "labels", { worker->kind(), worker->rack() } },
            { "capacity", { { "cpu", workerCpu }, { "memMb", workerMemory }, { "gpu", 0 } } },
            { "id", worker->id() } });
    }
    co_return Answer { 200,
        json::serialize(json::object { { "machines", std::move(rows) }, { "nextToken", "" } }) };
}

void World::addWorkers(const std::string& pool, int count, const std::vector<std::string>& kinds)
{
    constexpr std::size_t rackSize = 4;
    for (int index = 0; index < count; ++index) {
        const auto number = this->machines.size();
        this->machines.push_back(std::make_unique<Worker>(this->context, this->metadata, this->rules,
            "i" + std::to_string(100 + number), pool, kinds[static_cast<std::size_t>(index) % kinds.size()],
            "r" + std::to_string(number / rackSize)));
    }
}

void World::configure(const std::vector<std::pair<std::string, std::string>>& queues, int idleRoutes)
{
    json::array routes;
    std::set<std::string> pools;
    const auto add = [&](const std::string& queue, const std::string& host, const std::string& pool) {
        routes.push_back({ { "name", queue }, { "host", host }, { "prefix", "/" + queue + "/" },
            { "kind", "non_idempotent" }, { "timeoutMs", 3000 }, { "sloMs", 600 }, { "priority", 0 },
            { "service", pool }, { "maxAttempts", 3 }, { "stretch", 1.6 } });
        pools.insert(pool);
    };
    for (const auto& [queue, pool] : queues) {
        add(queue, "queue.example", pool);
    }
    for (int index = 0; index < idleRoutes; ++index) {
        add("idle" + std::to_string(1000 + index), "idle" + std::to_string(1000 + index) + ".example",
            queues.front().second);
    }
    json::array services;
    for (const auto& pool : pools) {
        services.push_back({ { "name", pool }, { "healthPath", "/health" }, { "maxConns", 64 },
            { "protocol", "h1" }, { "tls", false }, { "enforcesCapacity", false }, { "spare", false } });
    }
    const auto text = json::serialize(json::object { { "version", this->version },
        { "routes", std::move(routes) }, { "services", std::move(services) },
        { "limits",
            { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 },
                { "idleTimeoutMs", 15000 } } } });
    this->metadata.put("op/config", text);
    this->log.write("the operator writes version " + std::to_string(this->version) + ", "
        + std::to_string(text.size()) + " bytes");
    this->version += 3;
}

Task<bool> World::launch(int count)
{
    constexpr std::int64_t readyTime = 15000;
    const char* const zones[] = { "hall-a", "hall-b", "hall-c" };
    for (int number = 0; number < count; ++number) {
        this->fronts.push_back(std::make_unique<Daemon>(
            this->programPath, this->folderPath, "front-" + std::to_string(number + 1), zones[number % 3]));
        this->fronts.back()->launch(this->metadata.addEntrance(), this->cloud.address(), this->limits);
    }
    const auto until = nowMs() + readyTime;
    for (const auto& daemon : this->fronts) {
        while (true) {
            soak::Call request { "GET", daemon->readiness(), "ready", "/ready", {} };
            const auto answer = co_await soak::call(std::move(request), milliseconds { 500 });
            if (answer.status == 200) {
                break;
            }
            if (nowMs() > until || daemon->hasEnded()) {
                co_return false;
            }
            co_await soak::pause(milliseconds { 100 });
        }
    }
    this->log.write("all daemons are ready");
    // The sites begin their traffic some seconds after the machines.
    co_await soak::pause(milliseconds { 6000 });
    co_return true;
}

Task<Answer> World::ask(std::size_t daemon, std::string method, std::string target, std::string body)
{
    const auto& front = *this->fronts.at(daemon);
    this->log.write("client sends " + method + " " + target + " to " + front.name());
    soak::Call request { method, front.callers(), "queue.example", target, std::move(body) };
    auto answer = co_await soak::call(std::move(request), patience);
    this->log.write("client gets " + std::to_string(answer.status) + " for " + method + " " + target + " "
        + answer.body.substr(0, 80));
    co_return answer;
}

Task<bool> World::submit(std::size_t daemon, std::string id, std::string queue, Job job)
{
    json::array steps;
    for (const auto& step : job.steps) {
        json::object row { { "cpu", step.cpu }, { "memMb", step.memory }, { "estimateMs", step.duration } };
        if (step.count != 0) {
            row["count"] = step.count;
        }
        if (!step.after.empty()) {
            json::array after;
            for (const auto number : step.after) {
                after.emplace_back(number);
            }
            row["after"] = std::move(after);
        }
        if (step.gang) {
            row["gang"] = true;
        }
        if (step.perServer > 0) {
            row["maxPerServer"] = step.perServer;
        }
        if (!step.label.empty()) {
            row["requires"] = step.label;
        }
        steps.push_back(std::move(row));
    }
    json::object content { { "spec", "review" }, { "steps", std::move(steps) } };
    if (job.runCount > 0) {
        content["runCount"] = job.runCount;
        content["startMs"] = job.startMs;
        content["intervalMs"] = job.intervalMs;
    }
    const auto body = json::serialize(content);
    this->log.write("job " + id + " " + body);
    this->rules.jobs()[id] = std::move(job);
    for (int attempt = 0; attempt < 5; ++attempt) {
        const auto answer = co_await ask((daemon + static_cast<std::size_t>(attempt)) % this->fronts.size(),
            "POST", "/" + queue + "/" + id, body);
        if (answer.status == 200) {
            this->rules.jobs()[id].accepted = true;
            co_return true;
        }
        co_await soak::pause(milliseconds { 400 });
    }
    co_return false;
}

Task<std::string> World::state(std::size_t daemon, std::string id, std::string queue)
{
    const auto answer = co_await ask(daemon, "GET", "/" + queue + "/" + id);
    if (answer.status != 200) {
        co_return "";
    }
    auto shown = textField(json::parse(answer.body).as_object(), "state");
    this->rules.jobs()[id].shown = shown;
    co_return shown;
}

std::string World::newId()
{
    char id[17] {};
    std::snprintf(id, sizeof id, "5c0e7a21%08llx", static_cast<unsigned long long>(++this->ids));
    return id;
}

void World::checkDaemons()
{
    for (const auto& daemon : this->fronts) {
        if (daemon->hasEnded()) {
            this->log.write(daemon->name() + " has ended by itself");
        }
    }
}

} // namespace review
