// A library to preload into a program, which makes its disk slow, or lets it stand still for a
// while as the kernel's write-back does.
//
//   PEPPERTACK_SYNC_MS        each sync takes so much longer, or a time drawn between that and
//   PEPPERTACK_SYNC_MOST_MS
//   PEPPERTACK_STALL_AT_MS    Unix time at which the disk stands still
//   PEPPERTACK_STALL_FOR_MS   and for how long
//   PEPPERTACK_STALL_CALLS    what waits for the end of that time, letters of: s syncs, l writes to
//                             standard output or error that are files, w writes to other files,
//                             o opens that create a file
//   PEPPERTACK_STALL_PROGRAMS prefix of the programs whose disk stands still; default: peppertack
//
// Reads, sockets and pipes are left alone.

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <dlfcn.h>
#include <fcntl.h>
#include <random>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace {

using std::chrono::milliseconds;

long long number_of(const char *name, long long otherwise) {
    const char *text = std::getenv(name);
    return text == nullptr ? otherwise : std::atoll(text);
}

const char *text_of(const char *name, const char *otherwise) {
    const char *text = std::getenv(name);
    return text == nullptr ? otherwise : text;
}

template <class Call> Call next_call(const char *name) {
    return reinterpret_cast<Call>(::dlsym(RTLD_NEXT, name));
}

/// Waits for the end of the stall if there is one now and this kind of call takes part.
void wait_for_disk(char kind) {
    const int saved = errno;
    const char *programs = text_of("PEPPERTACK_STALL_PROGRAMS", "peppertack");
    const bool stalls =
        std::strchr(text_of("PEPPERTACK_STALL_CALLS", ""), kind) != nullptr &&
        std::strncmp(program_invocation_short_name, programs, std::strlen(programs)) == 0;
    if (stalls) {
        const milliseconds begin(number_of("PEPPERTACK_STALL_AT_MS", 0));
        const milliseconds end = begin + milliseconds(number_of("PEPPERTACK_STALL_FOR_MS", 0));
        const auto now = std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        if (now >= begin && now < end) {
            std::this_thread::sleep_for(end - now);
        }
    }
    errno = saved;
}

int sync_late(const char *call, int file) {
    static thread_local std::mt19937 random(static_cast<unsigned int>(::getpid()));
    const long long least = number_of("PEPPERTACK_SYNC_MS", 0);
    const long long most = std::max(least, number_of("PEPPERTACK_SYNC_MOST_MS", least));
    const long long drawn = std::uniform_int_distribution<long long>(least, most)(random);
    std::this_thread::sleep_for(milliseconds(drawn));
    wait_for_disk('s');
    return next_call<int (*)(int)>(call)(file);
}

bool is_file(int handle) {
    struct stat about {};
    return ::fstat(handle, &about) == 0 && S_ISREG(about.st_mode);
}

int open_late(const char *call, const char *path, int flags, mode_t mode) {
    if ((flags & O_CREAT) != 0) {
        wait_for_disk('o');
    }
    return next_call<int (*)(const char *, int, ...)>(call)(path, flags, mode);
}

} // namespace

extern "C" int fdatasync(int file) {
    return sync_late("fdatasync", file);
}

extern "C" int fsync(int file) {
    return sync_late("fsync", file);
}

extern "C" ssize_t write(int file, const void *bytes, size_t size) {
    if (is_file(file)) {
        wait_for_disk(file == STDOUT_FILENO || file == STDERR_FILENO ? 'l' : 'w');
    }
    return next_call<ssize_t (*)(int, const void *, size_t)>("write")(file, bytes, size);
}

extern "C" int open(const char *path, int flags, ...) {
    mode_t mode = 0;
    if ((flags & O_CREAT) != 0) {
        va_list words;
        va_start(words, flags);
        mode = va_arg(words, mode_t);
        va_end(words);
    }
    return open_late("open", path, flags, mode);
}

extern "C" int open64(const char *path, int flags, ...) {
    mode_t mode = 0;
    if ((flags & O_CREAT) != 0) {
        va_list words;
        va_start(words, flags);
        mode = va_arg(words, mode_t);
        va_end(words);
    }
    return open_late("open64", path, flags, mode);
}
