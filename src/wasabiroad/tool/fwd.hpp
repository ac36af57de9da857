#pragma once

namespace wasabiroad::tool {

struct Invocation;

} // namespace wasabiroad::tool
