#pragma once

namespace peppertack {

inline constexpr const char *program_version = "0.1.0";

} // namespace peppertack
