#include "power_loss.hpp"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <sys/stat.h>
#include <vector>

namespace peppertack::testing {

namespace {

using folder_names = std::map<std::string, std::string>; ///< inode number by name

struct watched_file {
    std::string created_as;
    std::size_t synced = 0;          ///< bytes
    std::vector<std::size_t> writes; ///< where each write since the last sync ended
};

struct disk_history {
    std::map<std::string, watched_file> files; ///< by inode number
    folder_names names;
    folder_names synced_names;
};

disk_history read_journal(const std::string &path) {
    disk_history disk;
    std::ifstream in(path);
    std::string event;
    std::string inode;
    std::string name;
    std::size_t size = 0;
    while (in >> event) {
        if (event == "create" && in >> inode >> name) {
            disk.files[inode].created_as = name;
            disk.names[name] = inode;
        } else if (event == "write" && in >> inode >> size) {
            disk.files[inode].writes.push_back(size);
        } else if (event == "sync" && in >> inode >> size >> name) {
            watched_file &file = disk.files[inode];
            file.synced = size;
            std::erase_if(file.writes, [&](std::size_t end) { return end <= size; });
            if (file.created_as == name) {
                disk.synced_names[name] = inode;
            }
        } else if (event == "rename" && in >> inode >> name) { // the first word is a name too
            disk.names[name] = disk.names[inode];
            disk.names.erase(inode);
        } else if (event == "remove" && in >> name) {
            disk.names.erase(name);
        } else if (event == "folder") {
            disk.synced_names = disk.names;
        }
    }
    return disk;
}

class loss {
public:
    explicit loss(std::uint64_t seed) : m_random(seed), m_all_gone(draw(3) == 0) {}

    std::size_t draw(std::size_t choices) { return m_random() % choices; }
    bool keeps() { return !m_all_gone && draw(2) == 0; }

    std::string bytes_left(const watched_file &file, const std::string &path) {
        std::ifstream in(path, std::ios::binary);
        const std::string all(std::istreambuf_iterator<char>(in), {});
        std::string left = all.substr(0, file.synced);
        std::vector<std::size_t> ends = file.writes;
        ends.push_back(all.size()); // of a write that the kill kept from the journal
        std::size_t begin = left.size();
        for (const std::size_t end : ends) {
            if (end <= begin || end > all.size()) {
                continue;
            }
            const std::size_t fate = m_all_gone ? 0 : draw(3);
            const std::size_t kept = fate == 0 ? 0 : fate == 1 ? end - begin : draw(end - begin);
            if (kept > 0) {
                left.resize(begin); // zeros in place of writes that are missing
                left.append(all, begin, kept);
            }
            begin = end;
        }
        return left;
    }

private:
    std::mt19937_64 m_random;
    bool m_all_gone;
};

} // namespace

void lose_power(const std::string &folder, std::uint64_t seed) {
    const std::string watched = folder + ".disk";
    const disk_history disk = read_journal(watched + "/journal");
    std::set<std::string> names;
    for (const folder_names *list : {&disk.names, &disk.synced_names}) {
        for (const auto &[name, inode] : *list) {
            names.insert(name);
        }
    }
    loss random(seed);
    std::map<std::string, std::string> left; ///< bytes by name
    for (const std::string &name : names) {
        const auto now = disk.names.find(name);
        const auto synced = disk.synced_names.find(name);
        const auto &list = random.keeps() ? disk.names : disk.synced_names;
        const auto chosen = &list == &disk.names ? now : synced;
        if (chosen != list.end()) {
            left[name] =
                random.bytes_left(disk.files.at(chosen->second), watched + "/" + chosen->second);
        }
    }
    std::filesystem::remove_all(watched);
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    std::filesystem::create_directories(watched);
    std::ofstream journal(watched + "/journal");
    for (const auto &[name, bytes] : left) {
        const std::string path = folder + "/" + name;
        std::ofstream(path, std::ios::binary) << bytes;
        struct stat about {};
        ::stat(path.c_str(), &about);
        const std::string inode = std::to_string(about.st_ino);
        std::filesystem::create_hard_link(path, watched + "/" + inode);
        journal << "create " << inode << " " << name << "\nsync " << inode << " " << bytes.size()
                << " " << name << "\n";
    }
    journal << "folder\n";
}

} // namespace peppertack::testing
