#pragma once

namespace wasabiroad::routing {

struct Candidate;

} // namespace wasabiroad::routing
