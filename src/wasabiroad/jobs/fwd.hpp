#pragma once

namespace wasabiroad::jobs {

struct Job;
struct Record;
struct Step;
struct TaskId;
struct TaskProgress;
enum class JobState : unsigned char;

} // namespace wasabiroad::jobs
