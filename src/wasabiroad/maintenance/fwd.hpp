#pragma once

namespace wasabiroad::maintenance {

class Controller;
class Probes;

} // namespace wasabiroad::maintenance
