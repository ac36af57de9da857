#pragma once

namespace wasabiroad::json {

class Reader;

} // namespace wasabiroad::json
