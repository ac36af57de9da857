#pragma once

namespace wasabiroad::lifecycle {

enum class RequestEvent : unsigned char;
enum class RequestState : unsigned char;
enum class VmEvent : unsigned char;

} // namespace wasabiroad::lifecycle
