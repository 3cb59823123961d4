#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace peppertack::bench {

/// Collects measurements, prints them as a table and writes them as CSV. One a run.
class report {
public:
    void add(const std::string &bench, const std::string &what, double value,
             const std::string &unit);
    void print() const;
    bool write_csv(const std::string &file) const;

private:
    struct line {
        std::string bench;
        std::string what;
        double value = 0;
        std::string unit;
    };
    std::vector<line> m_lines;
};

/// Processor time of this thread in nanoseconds.
double thread_cpu_ns();
/// Resident memory of this process in bytes.
double resident_bytes();

/// Processor nanoseconds a call, the least of several rounds of `calls` calls each.
double least_ns(std::size_t calls, const std::function<void()> &call);

/// Value below which `part` of the values lie.
double quantile(std::vector<double> values, double part);

using bench_function = void (*)(report &);

void bench_lookup(report &out);
void bench_codec(report &out);
void bench_key_memory(report &out);
void bench_admission(report &out);
void bench_log(report &out);
void bench_control(report &out);
void bench_placement_time(report &out);
void bench_placement_quality(report &out);
void bench_overload(report &out);

} // namespace peppertack::bench
