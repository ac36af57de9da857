#pragma once

namespace wasabiroad::bench {

/** @return Processor time that a process has used, in seconds; 0 when it does not exist. */
double processorSeconds(int process);

/** @return Resident memory of a process in MB; 0 when it does not exist. */
double residentMegabytes(int process);

} // namespace wasabiroad::bench
