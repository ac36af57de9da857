#pragma once

namespace wasabiroad::standin {

class Platform;
class Proxy;
class RunLog;
class Upstream;

} // namespace wasabiroad::standin
