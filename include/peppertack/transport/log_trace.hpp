#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace peppertack {

/// One line of a process's log.
struct log_line {
    std::string process;
    std::int64_t time_ms = 0; ///< the collector's time if it stamped the line, else the process's
    nlohmann::json fields;

    friend bool operator==(const log_line &, const log_line &) = default;
};

/// What the logs say of one request.
struct request_trace {
    std::vector<log_line> lines;   ///< that name the request, in order
    std::vector<log_line> related; ///< of its target or service, that led to its end
    std::string cause;             ///< empty if no line tells how the request ended

    friend bool operator==(const request_trace &, const request_trace &) = default;
};

/// Answers of one route that ended in one way.
struct cause_count {
    std::string route;
    std::string cause; ///< status of the target, or the name of a kind of error
    std::uint64_t count = 0;

    friend bool operator==(const cause_count &, const cause_count &) = default;
};

/// Logs of several processes, merged by time. Not thread safe.
class log_trace {
public:
    /// Adds a log of JSON lines. What a collector put before a line is read as its time in seconds,
    /// if it is a number, and as the name of the process; without one that is `name`. Lines of one
    /// log keep their order. A line without a JSON object is counted and left out.
    void read(std::istream &in, const std::string &name);

    std::size_t lines() const { return m_lines.size(); }
    std::size_t unreadable() const { return m_unreadable; }
    /// Lines about requests that the processes themselves left out.
    std::uint64_t left_out() const;

    request_trace trace(const std::string &request) const;
    /// Sums of the processes' summaries, the most frequent first.
    std::vector<cause_count> summary() const;

private:
    /// Which lines explain an end, and how long before it they can be.
    struct context_rule {
        const char *kind;
        std::int64_t before_ms;
        bool (log_trace::*relates)(const log_line &end, const log_line &other) const;
    };
    static const context_rule context_rules[];

    bool of_target_node(const log_line &end, const log_line &other) const;
    bool failed_call(const log_line &end, const log_line &other) const;
    bool loss_of_target(const log_line &end, const log_line &other) const;
    bool same_content(const log_line &end, const log_line &other) const;
    bool move_of_keys(const log_line &end, const log_line &other) const;
    bool state_of_process(const log_line &end, const log_line &other) const;

    std::vector<log_line> related_to(const log_line &end) const;

    std::vector<log_line> m_lines;
    std::map<std::string, std::string> m_nodes; ///< by target, the process beside it
    std::size_t m_unreadable = 0;
    bool m_ids_name_parents = false; ///< seen in the logs read so far
};

} // namespace peppertack
