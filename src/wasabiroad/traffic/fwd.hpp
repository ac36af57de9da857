#pragma once

namespace wasabiroad::traffic {

class DispatchPort;
class FrontEnd;
class Session;
class UpstreamPool;

} // namespace wasabiroad::traffic
