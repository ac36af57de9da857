#pragma once

namespace wasabiroad::settings {

struct Limits;
struct Settings;

} // namespace wasabiroad::settings
