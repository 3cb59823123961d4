#include "peppertack/state/posix_storage.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <thread>
#include <unistd.h>

namespace peppertack {

namespace {

constexpr const char *lock_file = "lock";
constexpr int file_mode = 0640;
constexpr std::size_t read_block = 64U << 10U; ///< bytes; few calls for logs of some megabytes
/// Suffix of the temporary file to which a replacement is written.
constexpr std::string_view temporary_suffix = ".new";

bool write_all(int handle, std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t written = ::write(handle, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

bool read_all(int handle, std::string &content) {
    std::array<char, read_block> block{};
    while (true) {
        const ssize_t got = ::read(handle, block.data(), block.size());
        if (got < 0 && errno == EINTR) {
            continue;
        }
        if (got <= 0) {
            return got == 0;
        }
        content.append(block.data(), static_cast<std::size_t>(got));
    }
}

void close_if_open(int handle) {
    if (handle >= 0) {
        ::close(handle);
    }
}

/// New content of a file, before it takes the file's place.
struct temporary_file {
    std::string path;
    int handle = -1;
    int error = 0; ///< errno of the first call that failed

    void write(std::string_view bytes) {
        handle = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode);
        if (handle < 0 || !write_all(handle, bytes)) {
            error = errno;
        }
    }
    void sync_and_close() {
        if (error == 0 && ::fsync(handle) != 0) {
            error = errno;
        }
        close_if_open(handle);
    }
};

/// Takes as long as the slowest sync, not as long as all of them.
void sync_concurrently(std::vector<temporary_file> &files) {
    std::vector<std::thread> others;
    for (std::size_t i = 1; i < files.size(); ++i) {
        others.emplace_back([&file = files[i]] { file.sync_and_close(); });
    }
    files.front().sync_and_close();
    for (std::thread &thread : others) {
        thread.join();
    }
}

} // namespace

std::unique_ptr<posix_storage> posix_storage::make(const std::string &folder, std::string &reason) {
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error) {
        reason = folder + ": " + error.message();
        return nullptr;
    }
    std::unique_ptr<posix_storage> files(new posix_storage(folder));
    files->m_lock =
        ::open(files->path_of(lock_file).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode);
    if (files->m_lock < 0 || ::flock(files->m_lock, LOCK_EX | LOCK_NB) != 0) {
        reason =
            folder + ": in use by another process, or not writable (" + std::strerror(errno) + ")";
        return nullptr;
    }
    return files;
}

posix_storage::~posix_storage() {
    for (const auto &[name, handle] : m_handles) {
        ::close(handle);
    }
    if (m_lock >= 0) {
        ::close(m_lock);
    }
}

std::optional<std::vector<std::string>> posix_storage::list() {
    std::vector<std::string> names;
    std::error_code error;
    std::filesystem::directory_iterator items(m_folder, error);
    for (; !error && items != std::filesystem::directory_iterator(); items.increment(error)) {
        const std::filesystem::directory_entry &item = *items;
        const std::string name = item.path().filename().string();
        // Ignore temporary files left by a crash. Otherwise one would be taken for the newest log,
        // and the vote and entries of the actual log would be lost.
        std::error_code gone; // the file may have been removed concurrently
        if (item.is_regular_file(gone) && name != lock_file && !name.ends_with(temporary_suffix)) {
            names.push_back(name);
        }
    }
    if (error) {
        m_reason = "list folder: " + error.message();
        return std::nullopt;
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::optional<std::string> posix_storage::read(const std::string &name) {
    const int handle = ::open(path_of(name).c_str(), O_RDONLY | O_CLOEXEC);
    std::string content;
    // A read error must not look like the end of the file: the rest of the log would be truncated
    // as a torn tail.
    if (handle < 0 || !read_all(handle, content)) {
        fail("read " + name);
        close_if_open(handle);
        return std::nullopt;
    }
    ::close(handle);
    return content;
}

int posix_storage::handle_of(const std::string &name) {
    const auto found = m_handles.find(name);
    if (found != m_handles.end()) {
        return found->second;
    }
    const int handle =
        ::open(path_of(name).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, file_mode);
    if (handle < 0) {
        fail("open " + name);
        return -1;
    }
    m_handles[name] = handle;
    return handle;
}

void posix_storage::close_handle(const std::string &name) {
    const auto found = m_handles.find(name);
    if (found != m_handles.end()) {
        ::close(found->second);
        m_handles.erase(found);
    }
}

bool posix_storage::append(const std::string &name, std::string_view bytes) {
    const int handle = handle_of(name);
    return handle >= 0 && (write_all(handle, bytes) || fail("write " + name));
}

bool posix_storage::sync(const std::string &name) {
    const int handle = handle_of(name);
    return handle >= 0 && (::fdatasync(handle) == 0 || fail("sync " + name)) && sync_entry(name);
}

bool posix_storage::truncate(const std::string &name, std::size_t size) {
    const int handle = handle_of(name);
    if (handle < 0) {
        return false;
    }
    const bool cut = ::ftruncate(handle, static_cast<off_t>(size)) == 0;
    return ((cut && ::fsync(handle) == 0) || fail("truncate " + name)) && sync_entry(name);
}

bool posix_storage::replace(const std::string &name, std::string_view bytes) {
    return replace_all({{.name = name, .bytes = std::string(bytes)}});
}

bool posix_storage::replace_all(const std::vector<stored_file> &files) {
    std::vector<temporary_file> written(files.size());
    for (std::size_t i = 0; i < files.size(); ++i) {
        close_handle(files[i].name);
        m_durable_entries.erase(files[i].name);
        written[i].path = path_of(files[i].name).append(temporary_suffix);
        written[i].write(files[i].bytes);
    }
    sync_concurrently(written);
    bool replaced = true;
    for (std::size_t i = 0; i < files.size(); ++i) {
        errno = written[i].error;
        const bool renamed =
            errno == 0 && ::rename(written[i].path.c_str(), path_of(files[i].name).c_str()) == 0;
        if (!renamed) {
            replaced = fail("replace " + files[i].name);
            ::unlink(written[i].path.c_str()); // frees the space for a retry on a full disk
        }
    }
    if (!replaced || !sync_folder()) {
        return false;
    }
    for (const stored_file &file : files) {
        m_durable_entries.insert(file.name);
    }
    return true;
}

bool posix_storage::remove(const std::string &name) {
    close_handle(name);
    m_durable_entries.erase(name);
    return ::unlink(path_of(name).c_str()) == 0 || fail("remove " + name);
}

/// A file whose directory entry is not synced may be missing after a power loss.
bool posix_storage::sync_entry(const std::string &name) {
    if (m_durable_entries.count(name) != 0) {
        return true;
    }
    if (!sync_folder()) {
        return false;
    }
    m_durable_entries.insert(name);
    return true;
}

bool posix_storage::sync_folder() {
    const int handle = ::open(m_folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    const bool synced = handle >= 0 && ::fsync(handle) == 0;
    close_if_open(handle);
    return synced || fail("sync folder");
}

bool posix_storage::fail(const std::string &what) {
    m_reason = what + ": " + std::strerror(errno);
    return false;
}

} // namespace peppertack
