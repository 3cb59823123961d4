#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peppertack {

/// A file with its complete content.
struct stored_file {
    std::string name;
    std::string bytes;

    friend bool operator==(const stored_file &, const stored_file &) = default;
};

/// Files of one process in one data directory. Names contain no path. A write is durable only after
/// `sync` of that file has returned true. Calls block on disk I/O. Not thread safe: after start-up,
/// used only on the disk thread.
class storage {
public:
    virtual ~storage() = default;

    /// Sorted names of all files; nullopt if the directory can't be read.
    virtual std::optional<std::vector<std::string>> list() = 0;
    /// Complete content; nullopt if the file is missing or can't be read. Use `list` to distinguish
    /// the two: an unreadable file must not be treated as missing, or it would be overwritten by a
    /// new one.
    virtual std::optional<std::string> read(const std::string &name) = 0;
    /// Appends to the file and creates it if missing. Returns false if the disk is full or the
    /// write fails.
    virtual bool append(const std::string &name, std::string_view bytes) = 0;
    virtual bool sync(const std::string &name) = 0;
    /// Truncates the file to `size` bytes and syncs it.
    virtual bool truncate(const std::string &name, std::size_t size) = 0;
    /// Atomically replaces the content of the file; after a crash, the file has either the complete
    /// old or the complete new content.
    virtual bool replace(const std::string &name, std::string_view bytes) = 0;
    /// Replaces several files. Each is replaced atomically; a crash before this has returned may
    /// keep any of the replacements without the others.
    virtual bool replace_all(const std::vector<stored_file> &files) = 0;
    virtual bool remove(const std::string &name) = 0;
    /// Reason why the last call failed.
    virtual const std::string &last_reason() const = 0;
};

} // namespace peppertack
