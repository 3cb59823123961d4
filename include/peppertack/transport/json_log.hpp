#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace peppertack {

enum class log_level : unsigned char { info, warning, error };

/// Sends all logging of this process to standard output as JSON lines, by a thread that this
/// starts. At the exit of the process the lines still queued are written if that takes under half a
/// second; after a crash by a signal, those of the last 20 ms may be missing. Call once, before
/// other threads start. Messages below `least` are dropped.
void start_json_log(const std::string &program, log_level least);

/// Lines that were dropped because the reader of the log did not keep up. Thread safe.
std::uint64_t dropped_log_lines();

/// One event with fixed field names: `time`, `level`, `event`, then `fields`. Thread safe; never
/// waits for the reader of the log or for a disk.
void log_event(log_level level, const char *event, const nlohmann::json &fields);

} // namespace peppertack
