#pragma once

namespace wasabiroad::metrics {

class Metrics;

} // namespace wasabiroad::metrics
