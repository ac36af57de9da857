#pragma once

namespace wasabiroad::platform {

struct Entry;
class HttpStore;
class LocalStore;
class MemoryStore;

} // namespace wasabiroad::platform
