#pragma once

namespace wasabiroad::fleet {

struct Layout;
struct Ledger;
struct VmRecord;
struct WaveProgress;

} // namespace wasabiroad::fleet
