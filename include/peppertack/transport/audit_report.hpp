#pragma once

#include "peppertack/state/audit_record.hpp"

#include <string>
#include <vector>

namespace peppertack {

/// One HTML page without scripts for people who read decisions: the table in force and who set it,
/// every change, every move of keys with its cause. Thread safe.
std::string audit_report(const std::vector<audit_record> &records);

} // namespace peppertack
