#pragma once

namespace wasabiroad::scheduling {

struct Policy;
struct UpstreamFacts;
class PoolScheduler;

} // namespace wasabiroad::scheduling
