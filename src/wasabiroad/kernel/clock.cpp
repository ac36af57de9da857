#include "wasabiroad/kernel/clock.hpp"

#include "wasabiroad/kernel/overloaded.hpp"

namespace wasabiroad::kernel {

namespace {

template <typename ChronoClock> Instant read()
{
    const auto sinceEpoch = ChronoClock::now().time_since_epoch();
    return { std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count() };
}

} // namespace

Instant now(const Clock& clock)
{
    return std::visit(Overloaded {
                          [](const SteadyClock&) { return read<std::chrono::steady_clock>(); },
                          [](const WallClock&) { return read<std::chrono::system_clock>(); },
                          [](const ManualClock& manual) { return manual.instant; },
                      },
        clock);
}

} // namespace wasabiroad::kernel
