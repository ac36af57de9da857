#pragma once

namespace wasabiroad::routing {

class FreeUpstreams;
class OperationHealth;
class RunTime;
class RunTimeBaseline;
class UpstreamHealth;

} // namespace wasabiroad::routing
