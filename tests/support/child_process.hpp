#pragma once

#include <cstddef>
#include <string>
#include <sys/types.h>
#include <vector>

namespace peppertack::testing {

/// A program to start, with its arguments, and where its output goes.
struct child_options {
    std::vector<std::string> words;
    std::string log_file;                 ///< is appended to
    std::vector<std::string> environment; ///< NAME=text, besides this process's own
    std::size_t max_descriptors = 0; ///< RLIMIT_NOFILE; 0, or more than it has: as this process
};

/// Starts a process that has no descriptor of this one, and returns once that is so. Between fork
/// and exec a child has copies of all listeners; on a busy machine that took long enough for this
/// process to close one meanwhile and to fail with "address already in use" when it opened it
/// again. Thread safe. Yields -1 if no process can be started.
pid_t start_child(const child_options &options);

} // namespace peppertack::testing
