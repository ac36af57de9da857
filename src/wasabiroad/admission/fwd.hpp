#pragma once

namespace wasabiroad::admission {

struct Grant;
struct Outcome;
struct Refusal;
class Dispatcher;

} // namespace wasabiroad::admission
