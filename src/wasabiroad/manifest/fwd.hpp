#pragma once

namespace wasabiroad::manifest {

struct Difference;

} // namespace wasabiroad::manifest
