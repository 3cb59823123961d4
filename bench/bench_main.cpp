#include "bench_report.hpp"

#include <cxxopts.hpp>
#include <iostream>

using namespace peppertack::bench;

namespace {

struct entry {
    const char *name;
    bench_function run;
};

constexpr entry entries[] = {{"lookup", bench_lookup},
                             {"codec", bench_codec},
                             {"key-memory", bench_key_memory},
                             {"admission", bench_admission},
                             {"overload", bench_overload},
                             {"log", bench_log},
                             {"control", bench_control},
                             {"placement-time", bench_placement_time},
                             {"placement-quality", bench_placement_quality}};

} // namespace

int main(int count, char **values) {
    cxxopts::Options table("bench", "in-process benches; run without names for all");
    table.add_options()("csv", "file for the results", cxxopts::value<std::string>());
    report out;
    try {
        const auto parsed = table.parse(count, values);
        const auto &names = parsed.unmatched();
        for (const entry &item : entries) {
            if (names.empty() || std::find(names.begin(), names.end(), item.name) != names.end()) {
                item.run(out);
            }
        }
        out.print();
        if (parsed.count("csv") != 0 && !out.write_csv(parsed["csv"].as<std::string>())) {
            std::cerr << "bench: can't write the CSV file\n";
            return 1;
        }
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "bench: " << error.what() << "\n";
        return 2;
    }
    return 0;
}
