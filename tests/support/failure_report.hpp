#pragma once

#include <string>

namespace peppertack::testing {

/// Whether the running test case has failed so far; clusters keep their folders then.
void set_case_failed(bool failed);
bool case_failed();

/// Tells people where the logs of a failed run are, with what tells a stalled disk from a lack of
/// processor: load, pressure and write-back of this machine, and warnings of the logs.
void report_failure(const std::string &folder);

} // namespace peppertack::testing
