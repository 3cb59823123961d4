// A library to preload into a program: each of its syncs takes longer, by PEPPERTACK_SYNC_MS, or by
// a time drawn between that and PEPPERTACK_SYNC_MOST_MS.

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <dlfcn.h>
#include <random>
#include <thread>
#include <unistd.h>

namespace {

using sync_call = int (*)(int);

long number_of(const char *name, long otherwise) {
    const char *text = std::getenv(name);
    return text == nullptr ? otherwise : std::atol(text);
}

int sync_late(const char *call, int file) {
    static thread_local std::mt19937 random(static_cast<unsigned int>(::getpid()));
    const long least = number_of("PEPPERTACK_SYNC_MS", 0);
    const long most = std::max(least, number_of("PEPPERTACK_SYNC_MOST_MS", least));
    const long drawn = std::uniform_int_distribution<long>(least, most)(random);
    std::this_thread::sleep_for(std::chrono::milliseconds(drawn));
    return reinterpret_cast<sync_call>(::dlsym(RTLD_NEXT, call))(file);
}

} // namespace

extern "C" int fdatasync(int file) {
    return sync_late("fdatasync", file);
}

extern "C" int fsync(int file) {
    return sync_late("fsync", file);
}
