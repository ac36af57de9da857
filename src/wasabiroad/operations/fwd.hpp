#pragma once

namespace wasabiroad::operations {

struct Status;

} // namespace wasabiroad::operations
