#pragma once

namespace wasabiroad::ports {

struct Fleet;
struct UpstreamLink;
struct Upstreams;

} // namespace wasabiroad::ports
