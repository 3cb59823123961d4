// A library to preload into a program, which notes what a loss of power would leave of its data
// folder. Tests play the loss, tests/support/power_loss.hpp.
//
//   PEPPERTACK_DISK_FOLDERS  beginning of the names of data folders, e.g. voter-
//   PEPPERTACK_SYNC_MOST_MS  each sync takes up to so much longer, drawn evenly
//
// Beside each data folder, FOLDER.disk gets a link to each file that was created, so that its bytes
// outlive its names, and a journal with one line a call. A sync takes the milliseconds longer that
// the file FOLDER.disk/slow holds, if there is one. Reads, sockets and pipes are left alone.

#include <cerrno>
#include <chrono>
#include <climits>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <dlfcn.h>
#include <fcntl.h>
#include <fstream>
#include <random>
#include <string>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace {

template <class Call> Call next_call(const char *name) {
    return reinterpret_cast<Call>(::dlsym(RTLD_NEXT, name));
}

/// A data folder, or a file in one; `disk` is empty for all else.
struct place {
    std::string disk; ///< where the folder's journal is
    std::string name; ///< of the file; empty for the folder
};

place place_of(const std::string &path) {
    const char *prefix = std::getenv("PEPPERTACK_DISK_FOLDERS");
    const auto is_data = [&](const std::string &folder) {
        const std::string last = folder.substr(folder.rfind('/') + 1);
        return prefix != nullptr && last.rfind(prefix, 0) == 0 &&
               last.find('.') == std::string::npos;
    };
    if (is_data(path)) {
        return {.disk = path + ".disk"};
    }
    const std::size_t slash = path.rfind('/');
    const std::string folder = path.substr(0, slash == std::string::npos ? 0 : slash);
    return is_data(folder) ? place{.disk = folder + ".disk", .name = path.substr(slash + 1)}
                           : place{};
}

place place_of(int file) {
    char path[PATH_MAX] = {};
    const std::string link = "/proc/self/fd/" + std::to_string(file);
    return ::readlink(link.c_str(), path, sizeof path - 1) > 0 ? place_of(std::string(path))
                                                               : place{};
}

struct stat state_of(int file) {
    struct stat about {};
    ::fstat(file, &about);
    return about;
}

/// One call to the kernel, so that a kill leaves a line whole or not at all.
void note(const place &at, const std::string &line) {
    const int saved = errno;
    const int journal = next_call<int (*)(const char *, int, ...)>("open")(
        (at.disk + "/journal").c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0640);
    const std::string text = line + "\n";
    if (next_call<ssize_t (*)(int, const void *, size_t)>("write")(journal, text.data(),
                                                                   text.size()) < 0) {
        std::abort();
    }
    ::close(journal);
    errno = saved;
}

int open_noted(const char *call, const char *path, int flags, mode_t mode) {
    const place at = (flags & O_CREAT) != 0 ? place_of(std::string(path)) : place{};
    const bool creates = !at.disk.empty() && ::access(path, F_OK) != 0;
    const int file = next_call<int (*)(const char *, int, ...)>(call)(path, flags, mode);
    if (creates && file >= 0) {
        ::mkdir(at.disk.c_str(), 0750);
        const std::string inode = std::to_string(state_of(file).st_ino);
        if (::link(path, (at.disk + "/" + inode).c_str()) != 0) {
            std::abort();
        }
        note(at, "create " + inode + " " + at.name);
    }
    return file;
}

int sync_noted(const char *call, int file) {
    static thread_local std::mt19937 random(std::random_device{}());
    const place at = place_of(file);
    if (at.disk.empty()) {
        return next_call<int (*)(int)>(call)(file);
    }
    const struct stat before = state_of(file);
    const char *most = std::getenv("PEPPERTACK_SYNC_MOST_MS");
    int wait = std::uniform_int_distribution<int>(0, most == nullptr ? 0 : std::atoi(most))(random);
    int slow = 0;
    std::ifstream(at.disk + "/slow") >> slow;
    std::this_thread::sleep_for(std::chrono::milliseconds(wait + slow));
    const int result = next_call<int (*)(int)>(call)(file);
    note(at, at.name.empty() ? "folder"
                             : "sync " + std::to_string(before.st_ino) + " " +
                                   std::to_string(before.st_size) + " " + at.name);
    return result;
}

} // namespace

extern "C" int open(const char *path, int flags, ...) {
    va_list words;
    va_start(words, flags);
    const mode_t mode = (flags & O_CREAT) != 0 ? va_arg(words, mode_t) : 0;
    va_end(words);
    return open_noted("open", path, flags, mode);
}

extern "C" int open64(const char *path, int flags, ...) {
    va_list words;
    va_start(words, flags);
    const mode_t mode = (flags & O_CREAT) != 0 ? va_arg(words, mode_t) : 0;
    va_end(words);
    return open_noted("open64", path, flags, mode);
}

extern "C" ssize_t write(int file, const void *bytes, size_t size) {
    const ssize_t written =
        next_call<ssize_t (*)(int, const void *, size_t)>("write")(file, bytes, size);
    const struct stat after = state_of(file);
    const place at = S_ISREG(after.st_mode) ? place_of(file) : place{};
    if (!at.disk.empty()) {
        note(at, "write " + std::to_string(after.st_ino) + " " + std::to_string(after.st_size));
    }
    return written;
}

extern "C" int fsync(int file) {
    return sync_noted("fsync", file);
}

extern "C" int fdatasync(int file) {
    return sync_noted("fdatasync", file);
}

extern "C" int rename(const char *from, const char *to) {
    const int result = next_call<int (*)(const char *, const char *)>("rename")(from, to);
    const place at = place_of(std::string(to));
    if (result == 0 && !at.disk.empty()) {
        note(at, "rename " + place_of(std::string(from)).name + " " + at.name);
    }
    return result;
}

extern "C" int unlink(const char *path) {
    const int result = next_call<int (*)(const char *)>("unlink")(path);
    const place at = place_of(std::string(path));
    if (result == 0 && !at.disk.empty()) {
        note(at, "remove " + at.name);
    }
    return result;
}
