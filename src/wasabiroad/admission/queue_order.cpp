#include "wasabiroad/admission/queue_order.hpp"

#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>

namespace wasabiroad::admission {

WorkClass classify(const model::QueuePolicy& policy, double estimate, double longFrom)
{
    return std::visit(kernel::Overloaded {
                          [](const model::FirstComeFirstServed&) { return WorkClass::Short; },
                          [&](const model::ShortFirst&) {
                              return estimate > longFrom ? WorkClass::Long : WorkClass::Short;
                          },
                      },
        policy);
}

bool atBound(const model::QueuePolicy& policy, const Waiting& waiting)
{
    return std::visit(kernel::Overloaded {
                          [](const model::FirstComeFirstServed&) { return false; },
                          [&](const model::ShortFirst& bounds) {
                              return waiting.workClass == WorkClass::Long && !waiting.overShare
                                  && waiting.overtakenBy >= bounds.maxOvertakes;
                          },
                      },
        policy);
}

Rank rank(const model::QueuePolicy& policy, const Waiting& waiting)
{
    const auto step = [&]() -> std::uint8_t {
        if (std::holds_alternative<model::FirstComeFirstServed>(policy) || atBound(policy, waiting)) {
            return 0;
        }
        return waiting.workClass == WorkClass::Short ? 1 : 2;
    };
    return { waiting.overShare, step(), waiting.order };
}

std::uint32_t longLimit(const model::QueuePolicy& policy, std::uint32_t slots, bool shortExpected)
{
    return std::visit(kernel::Overloaded {
                          [&](const model::FirstComeFirstServed&) { return slots; },
                          [&](const model::ShortFirst& bounds) {
                              if (!shortExpected || bounds.reservedPercent == 0 || slots < 2) {
                                  return slots;
                              }
                              const auto share = slots * bounds.reservedPercent / 100;
                              return slots - std::clamp(share, 1U, slots - 1);
                          },
                      },
        policy);
}

} // namespace wasabiroad::admission
