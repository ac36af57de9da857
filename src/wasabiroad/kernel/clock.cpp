#include "wasabiroad/kernel/clock.hpp"

#include "wasabiroad/kernel/overloaded.hpp"

#include <ctime>

namespace wasabiroad::kernel {

namespace {

template <typename ChronoClock> Instant read()
{
    const auto sinceEpoch = ChronoClock::now().time_since_epoch();
    return { std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count() };
}

} // namespace

Instant bootNow()
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    constexpr std::int64_t nanosecondsPerMillisecond = 1000000;
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return { time.tv_sec * millisecondsPerSecond + time.tv_nsec / nanosecondsPerMillisecond };
}

Instant now(const Clock& clock)
{
    return std::visit(Overloaded {
                          [](const SteadyClock&) { return read<std::chrono::steady_clock>(); },
                          [](const BootClock&) { return bootNow(); },
                          [](const WallClock&) { return read<std::chrono::system_clock>(); },
                          [](const ManualClock& manual) { return manual.instant; },
                      },
        clock);
}

} // namespace wasabiroad::kernel
