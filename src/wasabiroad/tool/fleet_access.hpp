#pragma once

#include "wasabiroad/fleet/wave_planner.hpp"
#include "wasabiroad/maintenance/records.hpp"
#include "wasabiroad/tool/invocation.hpp"

namespace wasabiroad::tool {

/** @brief Manifest in force with its generation. */
struct ManifestInForce {
    const model::Generation generation {};
    const model::Manifest manifest;

    friend auto operator<=>(const ManifestInForce&, const ManifestInForce&) = default;
};

/** @brief Reads the manifest in force. Errors: KeyNotFound when there is none, and those of the platform. */
platform::Result<ManifestInForce> readManifest(platform::Store store);

/** @brief Reads the ledgers of all zones. */
platform::Result<fleet::Ledgers> readLedgers(platform::Store store);

/** @brief Change of a VM that an operator asks for. */
struct VmChange {
    const model::VmId vm;
    const fleet::Step step;
    const bool dryRun { false };

    friend auto operator<=>(const VmChange&, const VmChange&) = default;
};

/**
 * @brief Makes one step in the ledger of a VM's zone, again after a lost race.
 * @return The record of the VM after the step. Errors: those of `fleet::apply` and of the platform.
 */
platform::Result<fleet::VmRecord> changeVm(platform::Store store, VmChange change);

/** @brief Makes one change of a wave, again after a lost race. */
platform::Result<fleet::WaveProgress> changeWave(
    platform::Store store, model::WaveId wave, fleet::WaveCommand command, bool dryRun);

/** @return Options that all commands which change a VM share. */
cxxopts::Options makeVmOptions(const std::string& command, const std::string& summary);

/** @brief Runs a command that changes a VM, and prints the outcome. */
kernel::ResultCode runVmChange(const Invocation& invocation, fleet::Step step);

} // namespace wasabiroad::tool
