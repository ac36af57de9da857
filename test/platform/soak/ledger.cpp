#include "ledger.hpp"

#include "http.hpp"

#include <algorithm>
#include <iostream>

namespace wasabiroad::soak {

namespace {

/** Time that a job may stand, of the rule LOST, in ms. */
constexpr std::int64_t idleLimit = 3000;

/** Calm time, with the time that the job stands, of the rule LOST, in ms. */
constexpr std::int64_t calmTime = 7000;

/** Time after its last run from which a task that lasts counts, in ms. */
constexpr std::int64_t lastingGrace = 6000;

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> parts { "" };
    for (const char character : text) {
        if (character == separator) {
            parts.emplace_back();
        } else {
            parts.back() += character;
        }
    }
    return parts;
}

/** @return The name of an upstream from the name of one of its lives. */
std::string upstreamOf(const std::string& life) { return life.substr(0, life.find('#')); }

} // namespace

std::string taskName(const std::string& job, std::size_t step, int index)
{
    return job + ".0." + std::to_string(step) + "." + std::to_string(index);
}

void Ledger::add(const std::string& id, Job job) { this->jobs.emplace(id, std::move(job)); }

void Ledger::accept(const std::string& id)
{
    auto& job = this->jobs.at(id);
    if (!job.accepted) {
        job.accepted = true;
        job.idleSince = nowMs();
    }
}

void Ledger::show(const std::string& id, const std::string& state)
{
    auto& job = this->jobs.at(id);
    if (!job.accepted || job.cancelled || job.closed) {
        return;
    }
    if (state.empty() || state == "cancelled" || state == "failed") {
        violate("LOST", id, state.empty() ? "not known" : "shown as " + state);
        job.closed = true;
        return;
    }
    if (state != "completed") {
        return;
    }
    job.closed = true;
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
        for (int index = 0; index < job.steps[step].count; ++index) {
            const auto task = taskName(id, step, index);
            const auto& progress = this->tasks[task];
            if (!progress.ended) {
                violate("MIXED", id, "shown as completed, but " + task + " has not ended");
                return;
            }
        }
    }
}

std::optional<Step> Ledger::stepOf(const std::string& task) const
{
    const auto parts = split(task, '.');
    const auto found = this->jobs.find(parts.front());
    if (parts.size() != 4 || found == this->jobs.end()) {
        return std::nullopt;
    }
    const auto step = std::stoul(parts[2]);
    return step < found->second.steps.size() ? std::optional { found->second.steps[step] } : std::nullopt;
}

void Ledger::begin(const std::string& life, const std::string& task, std::int64_t run)
{
    ++this->begun;
    auto& progress = this->tasks[task];
    if (!progress.running.empty()) {
        violate("TWICE", task.substr(0, task.find('.')),
            task + " run " + std::to_string(run) + " on " + life + " beside run "
                + std::to_string(progress.running.begin()->second) + " on "
                + progress.running.begin()->first);
    }
    if (progress.surelyDone) {
        violate(
            "TWICE", task.substr(0, task.find('.')), task + " run " + std::to_string(run) + " after its end");
    }
    progress.running.emplace(life, run);
    progress.upstreams.insert(upstreamOf(life));
    progress.lastRun = nowMs();
}

void Ledger::end(const std::string& life, const std::string& task, std::int64_t run, const std::string& how)
{
    auto& progress = this->tasks[task];
    progress.running.erase({ life, run });
    progress.lastRun = nowMs();
    if (how == "done") {
        progress.listed.emplace(life, run);
        progress.ended = true;
    }
}

void Ledger::note(const std::string& life, const std::string& task, std::int64_t run, bool sure)
{
    auto& progress = this->tasks[task];
    if (progress.listed.erase({ life, run }) != 0) {
        progress.done = true;
        progress.surelyDone = progress.surelyDone || sure;
    }
}

void Ledger::lose(const std::string& life)
{
    for (auto& [task, progress] : this->tasks) {
        if (std::erase_if(progress.running, [&](const auto& item) { return item.first == life; }) != 0) {
            progress.lastRun = nowMs();
        }
        std::erase_if(progress.listed, [&](const auto& item) { return item.first == life; });
    }
}

void Ledger::checkIdle(const std::map<std::string, PoolRoom>& pools, std::int64_t calm)
{
    const auto now = nowMs();
    for (auto& [id, job] : this->jobs) {
        if (!job.accepted || job.cancelled || job.closed) {
            continue;
        }
        const auto& pool = pools.at(job.pool);
        bool runs = false;
        bool stands = false;
        std::string waiting;
        bool before = true;
        for (std::size_t step = 0; step < job.steps.size() && before; ++step) {
            for (int index = 0; index < job.steps[step].count; ++index) {
                const auto task = taskName(id, step, index);
                auto& progress = this->tasks[task];
                runs = runs || !progress.running.empty();
                const bool done = progress.done || progress.shown || !progress.listed.empty();
                before = before && done;
                const bool waits = progress.running.empty() && !done
                    && (!job.steps[step].lasts() || now >= progress.lastRun + lastingGrace);
                if (waits && hasRoom(pool, id, step)) {
                    stands = true;
                    waiting = task;
                }
            }
        }
        const bool lasts = job.steps.front().lasts();
        if (!stands || (runs && !lasts)) {
            job.idleSince = now;
        } else if (now - job.idleSince >= idleLimit && calm >= calmTime && !job.reported) {
            job.reported = true;
            violate("LOST", id,
                (lasts ? "lasting: " : "still: ") + waiting + " has not run for "
                    + std::to_string(now - job.idleSince) + " ms");
        }
    }
}

bool Ledger::isDone(const std::string& id) const
{
    const auto& steps = this->jobs.at(id).steps;
    for (std::size_t step = 0; step < steps.size(); ++step) {
        for (int index = 0; index < steps[step].count; ++index) {
            const auto found = this->tasks.find(taskName(id, step, index));
            if (found == this->tasks.end() || !found->second.done) {
                return false;
            }
        }
    }
    return true;
}

bool Ledger::hasRoom(const PoolRoom& pool, const std::string& id, std::size_t step) const
{
    const auto& needed = this->jobs.at(id).steps[step];
    std::int64_t fitting = 0;
    for (const auto& room : pool.rooms) {
        auto fits = std::min(room.cpu / needed.cpu, room.memory / needed.memory);
        if (needed.perServer > 0) {
            std::int64_t here = 0;
            for (int index = 0; index < needed.count; ++index) {
                const auto found = this->tasks.find(taskName(id, step, index));
                here += found != this->tasks.end()
                        && std::ranges::any_of(found->second.running,
                            [&](const auto& item) { return upstreamOf(item.first) == room.upstream; })
                    ? 1
                    : 0;
            }
            fits = std::min(fits, needed.perServer - here);
        }
        fitting += std::max<std::int64_t>(0, fits);
    }
    return pool.underHalf && fitting >= 2;
}

void Ledger::violate(const std::string& rule, const std::string& job, const std::string& detail)
{
    const auto found = this->jobs.find(job);
    this->broken.push_back({ rule, job, found != this->jobs.end() ? found->second.pool : "", detail });
    const auto& last = this->broken.back();
    std::cout << nowMs() << " ms: " << rule << " job=" << job << " pool=" << last.pool << " " << detail
              << std::endl;
}

} // namespace wasabiroad::soak
