#pragma once

namespace wasabiroad::control {

struct ControlState;
struct ManifestAdopted;
class SnapshotPublisher;

} // namespace wasabiroad::control
