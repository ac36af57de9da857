#pragma once

namespace wasabiroad::launch {

class Process;
class Site;

} // namespace wasabiroad::launch
