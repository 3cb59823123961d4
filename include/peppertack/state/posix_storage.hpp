#pragma once

#include "peppertack/state/storage.hpp"

#include <map>
#include <memory>
#include <set>

namespace peppertack {

/// Storage in one directory of the local file system.
class posix_storage final : public storage {
public:
    /// Creates the directory if it is missing and locks it against use by other processes. Returns
    /// null and sets `reason` on failure.
    static std::unique_ptr<posix_storage> make(const std::string &folder, std::string &reason);
    ~posix_storage() override;
    posix_storage(const posix_storage &) = delete;
    posix_storage &operator=(const posix_storage &) = delete;

    std::optional<std::vector<std::string>> list() override;
    std::optional<std::string> read(const std::string &name) override;
    bool append(const std::string &name, std::string_view bytes) override;
    bool sync(const std::string &name) override;
    bool truncate(const std::string &name, std::size_t size) override;
    bool replace(const std::string &name, std::string_view bytes) override;
    /// Syncs the files concurrently, and the directory once for all of them.
    bool replace_all(const std::vector<stored_file> &files) override;
    bool remove(const std::string &name) override;
    const std::string &last_reason() const override { return m_reason; }

private:
    explicit posix_storage(std::string folder) : m_folder(std::move(folder)) {}

    std::string path_of(const std::string &name) const { return m_folder + "/" + name; }
    int handle_of(const std::string &name);
    void close_handle(const std::string &name);
    bool sync_entry(const std::string &name);
    bool sync_folder();
    bool fail(const std::string &what);

    std::string m_folder;
    int m_lock = -1;
    std::map<std::string, int> m_handles;
    std::set<std::string> m_durable_entries; ///< files whose directory entries are synced
    std::string m_reason;
};

} // namespace peppertack
