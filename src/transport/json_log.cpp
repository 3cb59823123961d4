#include "peppertack/transport/json_log.hpp"

#include "peppertack/transport/log_writer.hpp"

#include <array>
#include <chrono>
#include <cstdlib>
#include <glog/logging.h>
#include <nlohmann/json.hpp>
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

/// At the end of a process, time for the lines in the queue to be written.
constexpr std::chrono::milliseconds flush_limit(500);
/// Never destroyed: other threads may log while the process exits.
log_writer *g_writer = nullptr;

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
        g_writer->write(out, severity >= google::GLOG_WARNING ? log_writer::priority::important
                                                              : log_writer::priority::normal);
        if (severity == google::GLOG_FATAL) {
            g_writer->flush(flush_limit); // the process ends without its exit handlers
        }
    }
};

} // namespace

void start_json_log(const std::string &program, log_level least) {
    static std::string name = program;
    static json_sink sink;
    g_least = least;
    g_writer = new log_writer({.descriptor = STDOUT_FILENO});
    std::atexit([] { g_writer->flush(flush_limit); });
    google::InitGoogleLogging(name.c_str());
    for (const google::LogSeverity severity :
         {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR, google::GLOG_FATAL}) {
        google::SetLogDestination(severity, "");
    }
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    google::AddLogSink(&sink);
}

std::uint64_t dropped_log_lines() {
    return g_writer == nullptr ? 0 : g_writer->dropped();
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
