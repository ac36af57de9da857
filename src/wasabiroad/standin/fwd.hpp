#pragma once

namespace wasabiroad::standin {

class Platform;
class Upstream;

} // namespace wasabiroad::standin
