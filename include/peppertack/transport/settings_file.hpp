#pragma once

#include "peppertack/transport/daemon_settings.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peppertack {

/// Settings written one a line as `name = value`; blank lines and lines that begin with `#` are
/// passed over. A value may be empty. Checked when read: whatever is wrong is listed with its
/// place.
class settings_file {
public:
    /// Reads text. Yields nothing and lists every fault if a line is no setting, a name stands
    /// twice or is none of `known`.
    static std::optional<settings_file> make(std::string_view text,
                                             const std::vector<std::string> &known,
                                             std::vector<settings_problem> &problems);

    /// Value of a setting; empty if it is not given.
    const std::string &text(const std::string &name) const;
    /// Each yields a value and notes a problem if the setting does not hold one.
    std::string address(const std::string &name, std::vector<settings_problem> &problems) const;
    std::vector<std::string> addresses(const std::string &name,
                                       std::vector<settings_problem> &problems) const;
    double number(const std::string &name, double least, double most,
                  std::vector<settings_problem> &problems) const;
    bool flag(const std::string &name, std::vector<settings_problem> &problems) const;

private:
    std::map<std::string, std::string> m_values;
};

} // namespace peppertack
