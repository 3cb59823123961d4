#include "bench_report.hpp"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace peppertack::bench {

namespace {

constexpr int rounds = 5;

} // namespace

void report::add(const std::string &bench, const std::string &what, double value,
                 const std::string &unit) {
    m_lines.push_back({bench, what, value, unit});
}

void report::print() const {
    std::size_t width = 0;
    for (const line &item : m_lines) {
        width = std::max(width, item.bench.size() + item.what.size() + 2);
    }
    for (const line &item : m_lines) {
        const std::string name = item.bench + ": " + item.what;
        std::printf("%-*s %14.4g %s\n", static_cast<int>(width), name.c_str(), item.value,
                    item.unit.c_str());
    }
}

bool report::write_csv(const std::string &file) const {
    std::ofstream out(file);
    out << "bench,what,value,unit\n";
    for (const line &item : m_lines) {
        out << item.bench << ",\"" << item.what << "\"," << item.value << "," << item.unit << "\n";
    }
    return static_cast<bool>(out.flush());
}

double thread_cpu_ns() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e9 + static_cast<double>(time.tv_nsec);
}

double resident_bytes() {
    std::ifstream in("/proc/self/statm");
    double size = 0;
    double resident = 0;
    in >> size >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double least_ns(std::size_t calls, const std::function<void()> &call) {
    double least = 1e18;
    for (int round = 0; round < rounds; ++round) {
        const double before = thread_cpu_ns();
        for (std::size_t i = 0; i < calls; ++i) {
            call();
        }
        least = std::min(least, (thread_cpu_ns() - before) / static_cast<double>(calls));
    }
    return least;
}

double quantile(std::vector<double> values, double part) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

} // namespace peppertack::bench
