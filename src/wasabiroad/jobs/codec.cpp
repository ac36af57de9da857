#include "wasabiroad/jobs/codec.hpp"

#include "wasabiroad/jobs/generated/jobs.pb.h"

namespace wasabiroad::jobs {

namespace {

void write(const Step& step, wire::Step& target)
{
    target.set_count(step.count);
    target.set_cpu(step.resources.cpu);
    target.set_memory(step.resources.memory);
    target.set_accelerators(step.resources.accelerators);
    target.set_estimate_ms(step.estimate.milliseconds);
    for (const auto before : step.after) {
        target.add_after(before);
    }
    target.set_saves_progress(step.savesProgress);
    target.set_gang(step.gang);
    target.set_same_rack(step.sameRack);
    target.set_label(step.label);
    target.set_data_rack(step.dataRack);
    target.set_max_per_upstream(step.maxPerUpstream);
    target.set_speculative(step.speculative);
    target.set_long_running(step.longRunning);
    target.set_image(step.image);
    target.set_tail_target_ms(step.tailLatencyTarget.milliseconds);
    target.set_filler(step.filler);
    target.set_may_miss(step.maxUnavailable);
}

Step read(const wire::Step& source)
{
    return {
        .count = source.count(),
        .resources = { source.cpu(), source.memory(), source.accelerators() },
        .estimate = { source.estimate_ms() },
        .after = { source.after().begin(), source.after().end() },
        .savesProgress = source.saves_progress(),
        .gang = source.gang(),
        .sameRack = source.same_rack(),
        .label = source.label(),
        .dataRack = source.data_rack(),
        .maxPerUpstream = source.max_per_upstream(),
        .speculative = source.speculative(),
        .longRunning = source.long_running(),
        .image = source.image(),
        .tailLatencyTarget = { source.tail_target_ms() },
        .filler = source.filler(),
        .maxUnavailable = source.may_miss(),
    };
}

bool dependsOnEarlierOnly(const wire::Job& job)
{
    for (int step = 0; step < job.steps_size(); ++step) {
        for (const auto before : job.steps(step).after()) {
            if (before >= static_cast<std::uint32_t>(step)) {
                return false;
            }
        }
    }
    return true;
}

} // namespace

std::string encode(const Job& job)
{
    wire::Job target;
    target.set_id(job.id.text());
    target.set_queue(job.queue.text());
    target.set_service(job.service.text());
    target.set_payload(job.payload);
    for (const auto& step : job.steps) {
        write(step, *target.add_steps());
    }
    target.set_occurrences(job.occurrences);
    target.set_first_due_ms(job.firstDue.milliseconds);
    target.set_interval_ms(job.interval.milliseconds);
    target.set_accepted_ms(job.accepted.milliseconds);
    target.set_priority(job.priority);
    target.set_max_attempts(job.maxAttempts);
    target.set_stretch(job.stretch);
    target.set_allowance_ms(job.allowance.milliseconds);
    return target.SerializeAsString();
}

std::string encode(const Record& record)
{
    wire::Record target;
    target.set_state(static_cast<std::uint32_t>(record.state));
    target.set_finished_ms(record.finished.milliseconds);
    for (const auto& task : record.tasks) {
        auto& progress = *target.add_tasks();
        progress.set_occurrence(task.position.occurrence);
        progress.set_step(task.position.step);
        progress.set_index(task.position.index);
        progress.set_done(task.done);
        for (const auto run : task.failedRuns) {
            progress.add_failed_runs(run.value);
        }
        progress.set_checkpoint(task.checkpoint);
    }
    for (const auto& range : record.completed) {
        auto& completed = *target.add_completed();
        completed.set_first(range.first);
        completed.set_last(range.last);
    }
    return target.SerializeAsString();
}

std::string encode(const std::vector<std::string>& upstreams)
{
    wire::UsedUpstreams target;
    for (const auto& id : upstreams) {
        target.add_ids(id);
    }
    return target.SerializeAsString();
}

std::string encode(const UsedUpstreams& used)
{
    wire::UsedUpstreams target;
    for (const auto& id : used.ids) {
        target.add_ids(id);
    }
    for (const auto& [id, left] : used.leaseLeft) {
        auto& lease = *target.add_leases();
        lease.set_upstream(id);
        lease.set_left_ms(left.milliseconds);
    }
    return target.SerializeAsString();
}

std::optional<UsedUpstreams> decodeUsedUpstreams(std::string_view bytes)
{
    wire::UsedUpstreams source;
    if (!source.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    std::map<std::string, kernel::Duration> leaseLeft;
    for (const auto& lease : source.leases()) {
        leaseLeft.emplace(lease.upstream(), kernel::Duration { lease.left_ms() });
    }
    return UsedUpstreams { { source.ids().begin(), source.ids().end() }, std::move(leaseLeft) };
}

std::string encode(const Drain& drain)
{
    wire::Drain target;
    target.set_upstream(drain.upstream);
    target.set_stops_tasks(drain.stopsTasks);
    return target.SerializeAsString();
}

std::optional<Drain> decodeDrain(std::string_view bytes)
{
    wire::Drain source;
    if (!source.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || source.upstream().empty()) {
        return std::nullopt;
    }
    return Drain { source.upstream(), source.stops_tasks() };
}

std::string encode(const PoolReport& report)
{
    wire::PoolReport target;
    for (const auto& [queue, count] : report.pending) {
        auto& row = *target.add_counts();
        row.set_queue(queue.text());
        row.set_count(count);
    }
    target.set_cpu(report.wanted.cpu);
    target.set_memory(report.wanted.memory);
    target.set_accelerators(report.wanted.accelerators);
    target.set_taken_cpu(report.taken.cpu);
    target.set_taken_memory(report.taken.memory);
    target.set_spread(report.spread);
    target.set_arriving_cpu(report.arriving);
    target.set_seen_up_to(report.asOf);
    target.set_room_cpu(report.room.cpu);
    target.set_room_memory(report.room.memory);
    for (const auto& id : report.releasable) {
        target.add_releasable(id);
    }
    return target.SerializeAsString();
}

std::optional<PoolReport> decodePoolReport(std::string_view bytes)
{
    wire::PoolReport source;
    if (!source.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    PendingCounts counts;
    for (const auto& row : source.counts()) {
        counts[QueueId { row.queue() }] = row.count();
    }
    return PoolReport { std::move(counts), { source.cpu(), source.memory(), source.accelerators() },
        { source.taken_cpu(), source.taken_memory() }, source.spread(),
        { source.releasable().begin(), source.releasable().end() }, source.arriving_cpu(),
        source.seen_up_to(), { source.room_cpu(), source.room_memory() } };
}

std::optional<Job> decodeJob(std::string_view bytes)
{
    wire::Job source;
    if (!source.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || source.id().empty()
        || source.steps().empty() || !dependsOnEarlierOnly(source)) {
        return std::nullopt;
    }
    std::vector<Step> steps;
    steps.reserve(static_cast<std::size_t>(source.steps_size()));
    for (const auto& step : source.steps()) {
        steps.push_back(read(step));
    }
    return Job {
        .id = JobId { source.id() },
        .queue = QueueId { source.queue() },
        .service = model::ServiceId { source.service() },
        .payload = source.payload(),
        .steps = std::move(steps),
        .occurrences = source.occurrences(),
        .firstDue = { source.first_due_ms() },
        .interval = { source.interval_ms() },
        .accepted = { source.accepted_ms() },
        .priority = source.priority(),
        .maxAttempts = source.max_attempts(),
        .stretch = source.stretch(),
        .allowance = { source.allowance_ms() },
    };
}

std::optional<Record> decodeRecord(std::string_view bytes)
{
    wire::Record source;
    if (!source.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))
        || source.state() > static_cast<std::uint32_t>(JobState::Cancelled)) {
        return std::nullopt;
    }
    std::vector<TaskProgress> tasks;
    tasks.reserve(static_cast<std::size_t>(source.tasks_size()));
    for (const auto& task : source.tasks()) {
        std::vector<Run> failedRuns;
        failedRuns.reserve(static_cast<std::size_t>(task.failed_runs_size()));
        for (const auto run : task.failed_runs()) {
            failedRuns.push_back({ run });
        }
        tasks.push_back({ { task.occurrence(), task.step(), task.index() }, task.done(),
            std::move(failedRuns), task.checkpoint() });
    }
    std::vector<OccurrenceRange> completed;
    completed.reserve(static_cast<std::size_t>(source.completed_size()));
    for (const auto& range : source.completed()) {
        completed.push_back({ range.first(), range.last() });
    }
    return Record { static_cast<JobState>(source.state()), std::move(tasks), { source.finished_ms() },
        std::move(completed) };
}

std::optional<std::vector<std::string>> decodeUpstreams(std::string_view bytes)
{
    wire::UsedUpstreams source;
    if (!source.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    return std::vector<std::string> { source.ids().begin(), source.ids().end() };
}

} // namespace wasabiroad::jobs
