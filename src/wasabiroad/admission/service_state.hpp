#pragma once

#include "wasabiroad/admission/request_list.hpp"
#include "wasabiroad/admission/retry_budget.hpp"
#include "wasabiroad/admission/service_queue.hpp"
#include "wasabiroad/model/service.hpp"
#include "wasabiroad/routing/operation_health.hpp"
#include "wasabiroad/routing/run_time.hpp"

#include <unordered_map>
#include <vector>

namespace wasabiroad::admission {

/** @brief State of one operation in the dispatcher, which alone changes it. */
struct OperationState {
    kernel::Duration declaredRunTime {};
    /** @brief Index of the lanes for short and long requests with the operation's requirement. */
    std::uint32_t lanePair { 0 };
    /** @brief Whether no VM in the current pools of the service meets the operation's requirement. */
    bool neverRunnable { false };
    std::uint32_t running { 0 };
    routing::RunTime runTime {};
    routing::OperationHealth health {};
};

/** @brief State of one service in the dispatcher, which alone changes it. */
struct ServiceState {
    /** @brief Whether the current snapshot contains the service. */
    bool inSnapshot { false };
    std::uint32_t pool { 0 };
    std::uint32_t queueBound { 0 };
    std::uint32_t retryPercent { 0 };
    std::unordered_map<model::OperationId, std::uint32_t> operationIndices {};
    std::vector<OperationState> operations {};
    ServiceQueue queue {};
    routing::RunTimeBaseline baseline {};
    RetryBudget retries {};
    /** @brief Running short requests in order of grant; one that runs too long is reclassified as long. */
    RequestList overrunCandidates {};
};

} // namespace wasabiroad::admission
