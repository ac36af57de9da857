#pragma once

namespace wasabiroad::agent {

struct Intake;
class Duties;
class PoolAgent;
class RecordWriter;
class Submissions;
class UpstreamAgent;

} // namespace wasabiroad::agent
