#pragma once

namespace wasabiroad::http {

class Server;

} // namespace wasabiroad::http
