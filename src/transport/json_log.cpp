#include "peppertack/transport/json_log.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace peppertack {

namespace {

constexpr std::array<const char *, 4> level_names{"info", "warning", "error", "fatal"};
log_level g_least = log_level::info;

std::int64_t wall_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::atomic<std::uint64_t> g_dropped{0};

/// Writes a line whole or not at all. A reader of the log that stalls must never hold up a
/// decision, so a line that the pipe has no room for is dropped and counted.
void write_line(const std::string &line) {
    pollfd out{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    if (::poll(&out, 1, 0) < 1 || (out.revents & POLLOUT) == 0) {
        ++g_dropped;
        return;
    }
    const ssize_t written = ::write(STDOUT_FILENO, line.data(), line.size());
    if (written != static_cast<ssize_t>(line.size())) {
        ++g_dropped;
    }
}

/// Writes each message as one line. A message of `log_event` is JSON already; one of a library is
/// wrapped.
class json_sink final : public google::LogSink {
public:
    void send(google::LogSeverity severity, const char *, const char *file, int line,
              const google::LogMessageTime &, const char *text, std::size_t size) override {
        nlohmann::json json = nlohmann::json::parse(std::string(text, size), nullptr, false);
        if (!json.is_object()) {
            json = {{"event", "message"}, {"text", std::string(text, size)}};
        }
        json["time_ms"] = wall_ms();
        json["level"] = level_names.at(static_cast<std::size_t>(severity));
        json["source"] = std::string(file) + ":" + std::to_string(line);
        const std::string out =
            json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
        write_line(out);
    }
};

} // namespace

void start_json_log(const std::string &program, log_level least) {
    static std::string name = program;
    static json_sink sink;
    g_least = least;
    google::InitGoogleLogging(name.c_str());
    for (const google::LogSeverity severity :
         {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR, google::GLOG_FATAL}) {
        google::SetLogDestination(severity, "");
    }
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    google::AddLogSink(&sink);
}

std::uint64_t dropped_log_lines() {
    return g_dropped;
}

void log_event(log_level level, const char *event, const nlohmann::json &fields) {
    if (level < g_least) {
        return;
    }
    nlohmann::json json = fields;
    json["event"] = event;
    const std::string text = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    switch (level) {
    case log_level::info: LOG(INFO) << text; return;
    case log_level::warning: LOG(WARNING) << text; return;
    case log_level::error: LOG(ERROR) << text; return;
    }
}

} // namespace peppertack
