#pragma once

#include <cstdint>

namespace wasabiroad::admission {

enum class Outcome : std::uint8_t;
enum class WorkClass : std::uint8_t;
struct Grant;
struct Refusal;
struct Unresolved;
class DeadlineWheel;
class Dispatcher;
class Lane;
class RequestTable;
class RetryBudget;
class ServiceQueue;
class SlotTable;
class TeamShares;

} // namespace wasabiroad::admission
