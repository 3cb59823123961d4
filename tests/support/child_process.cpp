#include "child_process.hpp"

#include <cerrno>
#include <cstdlib>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

namespace peppertack::testing {

namespace {

constexpr int first_inherited = 3; ///< descriptor behind standard input, output and error
constexpr int not_started = 127;   ///< exit status, as shells have it

/// The child's side; does not return.
[[noreturn]] void become(const child_options &options) {
    const int log = ::open(options.log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::close_range(first_inherited, ~0U, 0);
    std::vector<char *> words;
    for (const std::string &word : options.words) {
        words.push_back(const_cast<char *>(word.c_str()));
    }
    words.push_back(nullptr);
    for (const std::string &variable : options.environment) {
        ::putenv(const_cast<char *>(variable.c_str()));
    }
    rlimit descriptors{};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    if (options.max_descriptors != 0 && options.max_descriptors < descriptors.rlim_cur) {
        descriptors.rlim_cur = descriptors.rlim_max = options.max_descriptors;
        ::setrlimit(RLIMIT_NOFILE, &descriptors);
    }
    ::execv(words[0], words.data());
    ::_exit(not_started);
}

} // namespace

pid_t start_child(const child_options &options) {
    int ends[2];
    if (::pipe(ends) != 0) {
        return -1;
    }
    const pid_t process = ::fork();
    if (process == 0) {
        become(options);
    }
    ::close(ends[1]);
    char none = 0;
    while (::read(ends[0], &none, 1) < 0 && errno == EINTR) {
    }
    ::close(ends[0]);
    return process;
}

} // namespace peppertack::testing
