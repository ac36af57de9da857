#pragma once

namespace wasabiroad::agent {

struct JobApi;
class Duties;
class PendingCounter;
class PoolAgent;
class RecordWriter;
class RevisionClock;
class Submissions;
class UpstreamAgent;

} // namespace wasabiroad::agent
