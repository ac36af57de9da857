#pragma once

namespace wasabiroad::bench {

class ArrivalSequence;
class Quantiles;

} // namespace wasabiroad::bench
