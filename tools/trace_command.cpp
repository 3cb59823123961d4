#include "command_line.hpp"
#include "peppertack/transport/log_trace.hpp"

#include <fstream>
#include <nlohmann/json.hpp>

namespace peppertack {

namespace {

nlohmann::json json_of(const std::vector<log_line> &lines) {
    nlohmann::json list = nlohmann::json::array();
    for (const log_line &line : lines) {
        list.push_back(
            {{"process", line.process}, {"time_ms", line.time_ms}, {"fields", line.fields}});
    }
    return list;
}

void print_lines(const std::vector<log_line> &lines) {
    for (const log_line &line : lines) {
        std::cout << "  " << line.time_ms << " " << line.process << " " << line.fields.dump()
                  << "\n";
    }
}

int print_summary(const call_options &options, const log_trace &logs) {
    nlohmann::json list = nlohmann::json::array();
    for (const cause_count &item : logs.summary()) {
        if (options.json) {
            list.push_back({{"route", item.route}, {"cause", item.cause}, {"count", item.count}});
        } else {
            std::cout << item.count << " " << item.route << " " << item.cause << "\n";
        }
    }
    if (options.json) {
        std::cout << list.dump(2) << "\n";
    }
    return exit_done;
}

int print_trace(const call_options &options, const log_trace &logs, const std::string &request) {
    const request_trace found = logs.trace(request);
    if (options.json) {
        const nlohmann::json json{{"request", request},
                                  {"cause", found.cause},
                                  {"lines", json_of(found.lines)},
                                  {"related", json_of(found.related)}};
        std::cout << json.dump(2) << "\n";
    } else if (!found.lines.empty()) {
        print_lines(found.lines);
        std::cout << "cause: " << (found.cause.empty() ? "not told" : found.cause) << "\n";
        print_lines(found.related);
    }
    if (found.lines.empty()) {
        std::cerr << "peppertack: no line names the request " << request
                  << "; the processes left out " << logs.left_out() << " lines about requests\n";
        return exit_refused;
    }
    return exit_done;
}

} // namespace

int trace_command(const call_options &options) {
    const std::size_t first_file = options.summary ? 1 : 2;
    if (options.words.size() <= first_file) {
        return usage_error("trace takes a request's id, or --summary, and files");
    }
    log_trace logs;
    for (std::size_t i = first_file; i < options.words.size(); ++i) {
        std::ifstream in(options.words[i]);
        if (!in) {
            return usage_error("can't read " + options.words[i]);
        }
        logs.read(in, options.words[i]);
    }
    if (logs.unreadable() > 0) {
        std::cerr << "peppertack: " << logs.unreadable() << " lines are no log lines\n";
    }
    return options.summary ? print_summary(options, logs)
                           : print_trace(options, logs, options.words[1]);
}

} // namespace peppertack
