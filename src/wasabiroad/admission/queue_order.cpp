#include "wasabiroad/admission/queue_order.hpp"

#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>

namespace wasabiroad::admission {

WorkClass classify(const model::QueuePolicy& policy, double estimate, double longThreshold)
{
    return std::visit(kernel::Overloaded {
                          [](const model::FirstComeFirstServed&) { return WorkClass::Short; },
                          [&](const model::ShortFirst&) {
                              return estimate > longThreshold ? WorkClass::Long : WorkClass::Short;
                          },
                      },
        policy);
}

bool atOvertakeBound(const model::QueuePolicy& policy, const QueueCandidate& candidate)
{
    return std::visit(kernel::Overloaded {
                          [](const model::FirstComeFirstServed&) { return false; },
                          [&](const model::ShortFirst& bounds) {
                              return candidate.workClass == WorkClass::Long && !candidate.atShare
                                  && candidate.overtakenBy >= bounds.maxOvertakes;
                          },
                      },
        policy);
}

Rank rank(const model::QueuePolicy& policy, const QueueCandidate& candidate)
{
    const auto priority = [&]() -> std::uint8_t {
        if (std::holds_alternative<model::FirstComeFirstServed>(policy)
            || atOvertakeBound(policy, candidate)) {
            return 0;
        }
        return candidate.workClass == WorkClass::Short ? 1 : 2;
    };
    return { candidate.atShare, priority(), candidate.order };
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
