#pragma once

namespace wasabiroad::kernel {

struct Duration;
struct Instant;
struct Error;
struct Plugin;
class EventBus;
class Kernel;
class Registry;
class Threads;
class Timer;

} // namespace wasabiroad::kernel
