#pragma once

#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace peppertack {

constexpr int exit_done = 0;
constexpr int exit_refused = 1;
constexpr int exit_usage = 2;
constexpr int exit_unreached = 3;

/// A command with its options.
struct call_options {
    std::vector<std::string> words;
    std::vector<std::string> addresses;
    std::map<std::string, std::string> values;
    bool json = false;
    bool summary = false;
    bool withdraw = false;

    std::string value(const std::string &name) const {
        const auto found = values.find(name);
        return found == values.end() ? "" : found->second;
    }
};

/// Says what is wrong with a command line, and yields `exit_usage`.
inline int usage_error(const std::string &what) {
    std::cerr << "peppertack: " << what << "; see peppertack --help\n";
    return exit_usage;
}

/// `trace ID FILE...` and `trace --summary FILE...`; yields the exit code.
int trace_command(const call_options &options);

} // namespace peppertack
