#pragma once

namespace wasabiroad::store {

struct Change;
struct Entry;
struct Store;

} // namespace wasabiroad::store
