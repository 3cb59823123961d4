#include "failure_report.hpp"

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <vector>

namespace peppertack::testing {

namespace {

constexpr std::size_t most_warnings = 12;
std::atomic<bool> g_case_failed{false};

void print_lines(const std::string &path, const std::vector<std::string> &beginnings) {
    std::ifstream in(path);
    for (std::string line; std::getline(in, line);) {
        const bool wanted =
            beginnings.empty() ||
            std::any_of(beginnings.begin(), beginnings.end(), [&](const std::string &beginning) {
                return line.rfind(beginning, 0) == 0;
            });
        if (wanted) {
            std::cout << "  " << path << ": " << line << "\n";
        }
    }
}

/// The first warnings and errors of each log, since later ones often follow from them.
void print_warnings(const std::filesystem::path &log) {
    std::ifstream in(log);
    std::size_t printed = 0;
    for (std::string line; printed < most_warnings && std::getline(in, line);) {
        if (line.find("\"level\":\"info\"") == std::string::npos) {
            std::cout << "  " << log.filename().string() << ": " << line << "\n";
            ++printed;
        }
    }
}

} // namespace

void set_case_failed(bool failed) {
    g_case_failed = failed;
}

bool case_failed() {
    return g_case_failed;
}

void report_failure(const std::string &folder) {
    std::cout << "logs are in " << folder << "\n";
    print_lines("/proc/loadavg", {});
    for (const char *resource : {"cpu", "io", "memory"}) {
        print_lines(std::string("/proc/pressure/") + resource, {});
    }
    print_lines("/proc/meminfo", {"MemAvailable:", "Dirty:", "Writeback:"});
    std::error_code ignored;
    for (const auto &item : std::filesystem::directory_iterator(folder, ignored)) {
        if (item.path().extension() == ".log") {
            print_warnings(item.path());
        }
    }
    std::cout << std::flush;
}

} // namespace peppertack::testing
