#include "wasabiroad/fleet/wave.hpp"

#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>
#include <array>

namespace wasabiroad::fleet {

using kernel::Expected;
using kernel::fail;
using kernel::ResultCode;

namespace {

constexpr std::array phases { WavePhase::Idle, WavePhase::Running, WavePhase::Paused, WavePhase::Stopped,
    WavePhase::Aborted, WavePhase::Finished };

template <typename Id> bool selects(const std::vector<Id>& list, const Id& id)
{
    return list.empty() || std::ranges::find(list, id) != list.end();
}

Expected<WaveProgress> changePhase(
    const WaveProgress& old, WavePhase phase, std::initializer_list<WavePhase> allowed, kernel::Instant now)
{
    if (std::ranges::find(allowed, old.phase) == allowed.end()) {
        return fail(ResultCode::TransitionNotAllowed, old.wave.text(), std::string { name(old.phase) },
            "a phase that can change to " + std::string { name(phase) });
    }
    const auto accepted = old.phase == WavePhase::Stopped ? old.failed.size() : old.acceptedFailures;
    return WaveProgress { old.wave, old.run, phase, old.active, old.done, old.failed, accepted, old.started,
        now };
}

Expected<WaveProgress> start(const WaveProgress& old, kernel::Instant now)
{
    if (old.phase == WavePhase::Running || old.phase == WavePhase::Paused || !old.active.empty()) {
        return fail(ResultCode::TransitionNotAllowed, old.wave.text(),
            std::string { name(old.phase) } + " with " + std::to_string(old.active.size()) + " active VMs",
            "a wave that is neither running nor paused and has no active VM");
    }
    return WaveProgress {
        .wave = old.wave, .run = old.run + 1, .phase = WavePhase::Running, .started = now, .changed = now
    };
}

Expected<WaveProgress> claimSlot(const WaveProgress& old, const model::Wave& wave,
    const std::set<model::VmId>& vms, const model::VmId& vm, kernel::Instant now)
{
    if (!vms.contains(vm)) {
        return fail(ResultCode::UnknownVm, vm.text(), "not selected by wave " + wave.id.text());
    }
    if (old.phase != WavePhase::Running || old.done.contains(vm) || old.active.contains(vm)) {
        return fail(ResultCode::TransitionNotAllowed, vm.text(), std::string { name(old.phase) },
            "a running wave in which the VM is neither active nor done");
    }
    if (old.active.size() >= wave.parallel) {
        return fail(ResultCode::BudgetExhausted, vm.text(), std::to_string(old.active.size()) + " VMs active",
            std::to_string(wave.parallel));
    }
    auto active = old.active;
    active.insert(vm);
    return WaveProgress { old.wave, old.run, old.phase, std::move(active), old.done, old.failed,
        old.acceptedFailures, old.started, now };
}

/** A running wave is finished when each selected VM is done or failed and no VM holds a slot. */
WavePhase phaseAfter(const WaveProgress& old, const std::set<model::VmId>& active,
    const std::set<model::VmId>& done, const std::set<model::VmId>& failed, const std::set<model::VmId>& vms)
{
    const bool complete
        = std::ranges::all_of(vms, [&](const auto& vm) { return done.contains(vm) || failed.contains(vm); });
    return complete && active.empty() && old.phase == WavePhase::Running ? WavePhase::Finished : old.phase;
}

Expected<WaveProgress> releaseSlot(
    const WaveProgress& old, const std::set<model::VmId>& vms, const ReleaseSlot& change, kernel::Instant now)
{
    if (!old.active.contains(change.vm)) {
        return fail(ResultCode::TransitionNotAllowed, change.vm.text(), "no slot held", "an active VM");
    }
    auto active = old.active;
    active.erase(change.vm);
    auto done = old.done;
    if (change.maintained) {
        done.insert(change.vm);
    }
    const auto phase = phaseAfter(old, active, done, old.failed, vms);
    return WaveProgress { old.wave, old.run, phase, std::move(active), std::move(done), old.failed,
        old.acceptedFailures, old.started, now };
}

Expected<WaveProgress> recordFailure(const WaveProgress& old, const model::Wave& wave,
    const std::set<model::VmId>& vms, const model::VmId& vm, kernel::Instant now)
{
    auto active = old.active;
    active.erase(vm);
    auto failed = old.failed;
    if (!failed.insert(vm).second && !old.active.contains(vm)) {
        return fail(ResultCode::TransitionNotAllowed, vm.text(), "failure already recorded", "a new failure");
    }
    const bool stops = old.phase == WavePhase::Running
        && failed.size() - old.acceptedFailures >= std::max(1U, wave.stopAfterFailures);
    const auto phase = stops ? WavePhase::Stopped : phaseAfter(old, active, old.done, failed, vms);
    return WaveProgress { old.wave, old.run, phase, std::move(active), old.done, std::move(failed),
        old.acceptedFailures, old.started, now };
}

} // namespace

std::string_view name(WavePhase phase)
{
    switch (phase) {
    case WavePhase::Idle:
        return "idle";
    case WavePhase::Running:
        return "running";
    case WavePhase::Paused:
        return "paused";
    case WavePhase::Stopped:
        return "stopped";
    case WavePhase::Aborted:
        return "aborted";
    case WavePhase::Finished:
        return "finished";
    }
    return "unlisted";
}

std::optional<WavePhase> parsePhase(std::string_view text)
{
    const auto found = std::ranges::find_if(phases, [&](auto phase) { return name(phase) == text; });
    return found == phases.end() ? std::nullopt : std::optional { *found };
}

Expected<WaveProgress> apply(const WaveProgress& progress, const model::Wave& wave,
    const std::set<model::VmId>& vms, const WaveChange& change, kernel::Instant now)
{
    using Phase = WavePhase;
    return std::visit(
        kernel::Overloaded {
            [&](const StartWave&) { return start(progress, now); },
            [&](const PauseWave&) { return changePhase(progress, Phase::Paused, { Phase::Running }, now); },
            [&](const ResumeWave&) {
                return changePhase(progress, Phase::Running, { Phase::Paused, Phase::Stopped }, now);
            },
            [&](const AbortWave&) {
                return changePhase(
                    progress, Phase::Aborted, { Phase::Running, Phase::Paused, Phase::Stopped }, now);
            },
            [&](const ClaimSlot& claim) { return claimSlot(progress, wave, vms, claim.vm, now); },
            [&](const ReleaseSlot& release) { return releaseSlot(progress, vms, release, now); },
            [&](const RecordFailure& failure) { return recordFailure(progress, wave, vms, failure.vm, now); },
        },
        change);
}

std::set<model::VmId> selectedVms(const model::Manifest& manifest, const model::Wave& wave)
{
    std::set<model::VmId> vms;
    for (const auto& vm : manifest.vms) {
        if (selects(wave.pools, vm.pool) && selects(wave.zones, vm.zone) && selects(wave.racks, vm.rack)) {
            vms.insert(vm.id);
        }
    }
    return vms;
}

Expected<const model::Wave*> findWave(const model::Manifest& manifest, const model::WaveId& wave)
{
    const auto found = std::ranges::find(manifest.waves, wave, &model::Wave::id);
    if (found == manifest.waves.end()) {
        return fail(ResultCode::WaveNotFound, wave.text(), "no such wave in the manifest");
    }
    return &*found;
}

std::string runName(const WaveProgress& progress)
{
    return progress.wave.text() + "#" + std::to_string(progress.run);
}

} // namespace wasabiroad::fleet
