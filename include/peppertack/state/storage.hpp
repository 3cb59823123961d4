#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peppertack {

/// Files of one process under one data folder. Names hold no path. Nothing written is durable until
/// `sync` of that file has returned true. Calls block for as long as the disk takes. Not thread
/// safe: after the start it belongs to the thread of the disk.
class storage {
public:
    virtual ~storage() = default;

    /// Names of all files, sorted; nothing if the folder can't be read.
    virtual std::optional<std::vector<std::string>> list() = 0;
    /// Whole content; nothing if the file is missing or can't be read. `list` tells which: a file
    /// that is there and can't be read must not count as missing, or it would be begun anew.
    virtual std::optional<std::string> read(const std::string &name) = 0;
    /// Appends to the file, creating it if missing. False on a full disk or a failed write.
    virtual bool append(const std::string &name, std::string_view bytes) = 0;
    virtual bool sync(const std::string &name) = 0;
    /// Cuts the file to `size` bytes and syncs it.
    virtual bool truncate(const std::string &name, std::size_t size) = 0;
    /// Replaces the file as one step that survives a crash: either all of it is there or none.
    virtual bool replace(const std::string &name, std::string_view bytes) = 0;
    virtual bool remove(const std::string &name) = 0;
    /// Why the last call failed.
    virtual const std::string &last_reason() const = 0;
};

} // namespace peppertack
