#pragma once

#include "peppertack/state/storage.hpp"

#include <algorithm>
#include <map>
#include <random>

namespace peppertack::testing {

/// In-memory storage that loses unsynced data on a simulated crash and fails on request.
class fake_storage final : public storage {
public:
    enum class fault : std::uint8_t { none, full, sync_fails, unreadable };

    std::optional<std::vector<std::string>> list() override {
        if (m_fault == fault::unreadable) {
            fail("input/output error");
            return std::nullopt;
        }
        std::vector<std::string> names;
        for (const auto &[name, file] : m_files) {
            names.push_back(name);
        }
        return names;
    }
    std::optional<std::string> read(const std::string &name) override {
        const auto found = m_files.find(name);
        if (m_fault == fault::unreadable) {
            fail("input/output error");
            return std::nullopt;
        }
        if (found == m_files.end()) {
            m_reason = "no file " + name;
            return std::nullopt;
        }
        return found->second.bytes;
    }
    bool append(const std::string &name, std::string_view bytes) override {
        if (m_fault == fault::full) {
            m_files[name].bytes.append(bytes.substr(0, bytes.size() / 2));
            return fail("disk full");
        }
        m_files[name].bytes.append(bytes);
        return true;
    }
    bool sync(const std::string &name) override {
        if (m_fault == fault::sync_fails) {
            m_files[name].sync_failed = true;
            return fail("sync failed");
        }
        // Like a kernel: pages dropped by a failed sync can still be read, but are never written.
        if (!m_files[name].sync_failed) {
            m_files[name].synced = m_files[name].bytes.size();
        }
        return true;
    }
    bool truncate(const std::string &name, std::size_t size) override {
        m_files[name].bytes.resize(size);
        m_files[name].synced = std::min(m_files[name].synced, size);
        return sync(name);
    }
    bool replace(const std::string &name, std::string_view bytes) override {
        if (m_fault == fault::full || m_fault == fault::sync_fails) {
            return fail(m_fault == fault::full ? "disk full" : "sync failed");
        }
        m_files[name] = {.bytes = std::string(bytes), .synced = bytes.size()};
        return true;
    }
    bool replace_all(const std::vector<stored_file> &files) override {
        return std::all_of(files.begin(), files.end(), [this](const stored_file &file) {
            return replace(file.name, file.bytes);
        });
    }
    bool remove(const std::string &name) override {
        m_files.erase(name);
        return true;
    }
    const std::string &last_reason() const override { return m_reason; }

    /// Keeps a random prefix of the unsynced data, possibly with its last byte corrupted.
    void crash(std::mt19937_64 &random) {
        for (auto &[name, file] : m_files) {
            const std::size_t unsynced = file.bytes.size() - file.synced;
            file.sync_failed = false;
            if (unsynced == 0) {
                continue;
            }
            file.bytes.resize(file.synced + random() % (unsynced + 1));
            if (file.bytes.size() > file.synced && random() % 2 == 0) {
                file.bytes.back() = static_cast<char>(file.bytes.back() ^ 0x55);
            }
            file.synced = file.bytes.size();
        }
        m_fault = fault::none;
    }
    void set_fault(fault value) { m_fault = value; }
    fault current_fault() const { return m_fault; }
    std::string &bytes_of(const std::string &name) { return m_files.at(name).bytes; }

private:
    struct file {
        std::string bytes;
        std::size_t synced = 0;
        bool sync_failed = false; ///< unsynced data will never be written
    };
    bool fail(const char *reason) {
        m_reason = reason;
        return false;
    }

    std::map<std::string, file> m_files;
    fault m_fault = fault::none;
    std::string m_reason;
};

} // namespace peppertack::testing
