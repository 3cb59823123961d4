#include "peppertack/transport/settings_file.hpp"

#include "peppertack/transport/http/byte_stream.hpp"

#include <algorithm>
#include <charconv>

namespace peppertack {

namespace {

std::string_view trimmed(std::string_view text) {
    constexpr std::string_view blanks = " \t\r";
    const std::size_t from = text.find_first_not_of(blanks);
    if (from == std::string_view::npos) {
        return {};
    }
    return text.substr(from, text.find_last_not_of(blanks) - from + 1);
}

} // namespace

std::optional<settings_file> settings_file::make(std::string_view text,
                                                 const std::vector<std::string> &known,
                                                 std::vector<settings_problem> &problems) {
    settings_file result;
    const std::size_t before = problems.size();
    for (std::size_t line = 1; !text.empty(); ++line) {
        const std::size_t end = text.find('\n');
        const std::string_view item = trimmed(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        if (item.empty() || item.front() == '#') {
            continue;
        }
        const std::string place = "line " + std::to_string(line);
        const std::size_t equals = item.find('=');
        if (equals == std::string_view::npos) {
            problems.push_back({place, std::string(item), "name = value"});
            continue;
        }
        const std::string name(trimmed(item.substr(0, equals)));
        if (std::find(known.begin(), known.end(), name) == known.end()) {
            problems.push_back({place, name, "a known setting"});
        } else if (!result.m_values.emplace(name, trimmed(item.substr(equals + 1))).second) {
            problems.push_back({place, name, "each setting once"});
        }
    }
    return problems.size() == before ? std::optional(std::move(result)) : std::nullopt;
}

const std::string &settings_file::text(const std::string &name) const {
    static const std::string none;
    const auto found = m_values.find(name);
    return found == m_values.end() ? none : found->second;
}

std::string settings_file::address(const std::string &name,
                                   std::vector<settings_problem> &problems) const {
    if (endpoint_from(text(name)).port() == 0) {
        problems.push_back({name, text(name), "IP:port with a port from 1 to 65535"});
    }
    return text(name);
}

std::vector<std::string> settings_file::addresses(const std::string &name,
                                                  std::vector<settings_problem> &problems) const {
    std::vector<std::string> result;
    std::string_view rest = text(name);
    while (!rest.empty()) {
        const std::size_t comma = rest.find(',');
        const std::string item(trimmed(rest.substr(0, comma)));
        if (endpoint_from(item).port() == 0) {
            problems.push_back({name, item, "IP:port, separated by commas"});
        }
        result.push_back(item);
        rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
    }
    if (result.empty()) {
        problems.push_back({name, "", "at least one IP:port"});
    }
    return result;
}

double settings_file::number(const std::string &name, double least, double most,
                             std::vector<settings_problem> &problems) const {
    const std::string &value = text(name);
    double result = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), result);
    if (error != std::errc{} || end != value.data() + value.size() || result < least ||
        result > most) {
        problems.push_back({name, value, std::to_string(least) + " to " + std::to_string(most)});
    }
    return result;
}

bool settings_file::flag(const std::string &name, std::vector<settings_problem> &problems) const {
    const std::string &value = text(name);
    if (value != "true" && value != "false") {
        problems.push_back({name, value, "true or false"});
    }
    return value == "true";
}

} // namespace peppertack
