#include "peppertack/transport/log_trace.hpp"

#include "peppertack/protocol/error_answer.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <optional>
#include <set>
#include <sstream>
#include <string_view>

namespace peppertack {

namespace {

constexpr std::size_t most_related = 12;
/// Lines of other processes may be stamped a little later than the end that they explain.
constexpr std::int64_t after_ms = 50;
constexpr int first_server_error = 500;
constexpr char parent_mark = '.'; ///< between a parent's id and what its call's id adds to it

std::string text_of(const nlohmann::json &fields, const char *name) {
    const auto found = fields.find(name);
    return found != fields.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::int64_t number_of(const nlohmann::json &fields, const char *name) {
    const auto found = fields.find(name);
    return found != fields.end() && found->is_number() ? found->get<std::int64_t>() : 0;
}

bool is_event(const log_line &line, std::string_view event) {
    return text_of(line.fields, "event") == event;
}

bool tells_end(const log_line &line) {
    return is_event(line, "request_ended") || is_event(line, "request_denied");
}

std::optional<log_line> parse(const std::string &text, const std::string &name) {
    const std::size_t begin = text.find('{');
    if (begin == std::string::npos) {
        return std::nullopt;
    }
    log_line line{.process = name,
                  .fields = nlohmann::json::parse(text.substr(begin), nullptr, false)};
    if (!line.fields.is_object() || !line.fields.contains("event")) {
        return std::nullopt;
    }
    line.time_ms = number_of(line.fields, "time_ms");
    std::istringstream prefix(text.substr(0, begin));
    for (std::string word; prefix >> word;) {
        char *end = nullptr;
        const double seconds = std::strtod(word.c_str(), &end);
        if (*end == '\0') {
            line.time_ms = std::llround(seconds * 1000);
        } else {
            line.process = word;
        }
    }
    return line;
}

const char *title_of(const std::string &kind) {
    for (int i = 0; i < error_kind_count; ++i) {
        const error_answer &answer = answer_for(static_cast<error_kind>(i));
        if (kind == answer.name) {
            return answer.title;
        }
    }
    return "";
}

std::string cause_of(const log_line &end) {
    const std::string kind = text_of(end.fields, "kind");
    const auto status = std::to_string(number_of(end.fields, "status"));
    const std::string target = text_of(end.fields, "target");
    const std::string at = target.empty() ? std::string() : ", target " + target;
    if (kind == "none") {
        return status + " from the target itself" + at;
    }
    return status + " " + kind + ": " + title_of(kind) + at;
}

} // namespace

/// For as long as a request is kept from targets.
constexpr std::int64_t day_ms = 86'400'000;

const log_trace::context_rule log_trace::context_rules[] = {
    {"none", 0, &log_trace::failed_call},
    {"overloaded", 1000, &log_trace::of_target_node},
    {"dependency-overloaded", 1000, &log_trace::of_target_node},
    {"target-lost", 5000, &log_trace::loss_of_target},
    {"target-unreachable", 5000, &log_trace::loss_of_target},
    {"owner-unreachable", 5000, &log_trace::loss_of_target},
    {"no-owner", 5000, &log_trace::move_of_keys},
    {"not-owner", 5000, &log_trace::move_of_keys},
    {"moving", 5000, &log_trace::move_of_keys},
    {"no-target", 5000, &log_trace::move_of_keys},
    {"quarantined", day_ms, &log_trace::same_content},
    {"draining", 5000, &log_trace::state_of_process},
    {"not-ready", 5000, &log_trace::state_of_process},
};

void log_trace::read(std::istream &in, const std::string &name) {
    std::vector<log_line> added;
    for (std::string text; std::getline(in, text);) {
        if (std::optional<log_line> line = parse(text, name)) {
            if (is_event(*line, "target_found") || is_event(*line, "target_assumed")) {
                m_nodes[text_of(line->fields, "target")] = line->process;
            }
            m_ids_name_parents =
                m_ids_name_parents ||
                text_of(line->fields, "request").find(parent_mark) != std::string::npos;
            added.push_back(std::move(*line));
        } else if (!text.empty()) {
            ++m_unreadable;
        }
    }
    std::vector<log_line> merged;
    merged.reserve(m_lines.size() + added.size());
    auto next = added.begin();
    for (log_line &line : m_lines) {
        for (; next != added.end() && next->time_ms < line.time_ms; ++next) {
            merged.push_back(std::move(*next));
        }
        merged.push_back(std::move(line));
    }
    std::move(next, added.end(), std::back_inserter(merged));
    m_lines = std::move(merged);
}

std::uint64_t log_trace::left_out() const {
    std::uint64_t sum = 0;
    for (const log_line &line : m_lines) {
        if (is_event(line, "request_lines_left_out")) {
            sum += static_cast<std::uint64_t>(number_of(line.fields, "count"));
        }
    }
    return sum;
}

request_trace log_trace::trace(const std::string &request) const {
    request_trace result;
    const log_line *end = nullptr;
    for (const log_line &line : m_lines) {
        if (text_of(line.fields, "request") == request) {
            result.lines.push_back(line);
            end = tells_end(line) ? &line : end;
        }
    }
    if (end != nullptr) {
        result.cause = cause_of(*end);
        result.related = related_to(*end);
    }
    return result;
}

/// The latest ones: what is nearest to the end explains it best.
std::vector<log_line> log_trace::related_to(const log_line &end) const {
    std::vector<log_line> result;
    const std::string kind = text_of(end.fields, "kind");
    const auto rule = std::find_if(std::begin(context_rules), std::end(context_rules),
                                   [&kind](const context_rule &item) { return kind == item.kind; });
    if (rule == std::end(context_rules)) {
        return result;
    }
    std::set<std::int64_t> decisions; // each voter tells every one
    const std::int64_t from = end.time_ms - number_of(end.fields, "took_ms") - rule->before_ms;
    for (const log_line &line : m_lines) {
        const bool near = line.time_ms >= from && line.time_ms <= end.time_ms + after_ms;
        if (!near || line == end || !(this->*rule->relates)(end, line)) {
            continue;
        }
        const bool decision = is_event(line, "decision");
        if (!decision || decisions.insert(number_of(line.fields, "sequence")).second) {
            result.push_back(line);
        }
    }
    if (result.size() > most_related) {
        result.erase(result.begin(), result.end() - most_related);
    }
    return result;
}

bool log_trace::of_target_node(const log_line &end, const log_line &other) const {
    const auto node = m_nodes.find(text_of(end.fields, "target"));
    return node != m_nodes.end() && other.process == node->second &&
           is_event(other, "traffic_summary");
}

/// A call of the target's run that did not end well. Where ids of calls begin with their parent's,
/// no other counts; else any that its node took from it or from callers meanwhile may be one.
bool log_trace::failed_call(const log_line &end, const log_line &other) const {
    if (number_of(end.fields, "status") < first_server_error ||
        number_of(other.fields, "status") < first_server_error ||
        !is_event(other, "request_ended")) {
        return false;
    }
    const std::string call = text_of(other.fields, "request");
    if (m_ids_name_parents) {
        return call.rfind(text_of(end.fields, "request") + parent_mark, 0) == 0;
    }
    const auto node = m_nodes.find(text_of(end.fields, "target"));
    return node != m_nodes.end() && other.process == node->second &&
           text_of(other.fields, "service") != text_of(end.fields, "service");
}

bool log_trace::loss_of_target(const log_line &end, const log_line &other) const {
    constexpr std::array<std::string_view, 5> events{
        "target_gone", "target_leaves", "target_failed", "connection_silent", "started"};
    const std::string target = text_of(end.fields, "target");
    const auto node = m_nodes.find(target);
    const bool named =
        text_of(other.fields, "target") == target || text_of(other.fields, "subject") == target;
    const bool beside = node != m_nodes.end() && other.process == node->second;
    const bool tells = std::any_of(events.begin(), events.end(),
                                   [&](std::string_view event) { return is_event(other, event); });
    return (named && (tells || is_event(other, "decision"))) || (beside && tells);
}

/// A request that asked for the same and was lost with its target.
bool log_trace::same_content(const log_line &end, const log_line &other) const {
    const std::string content = text_of(end.fields, "content");
    return is_event(other, "target_failed") && !content.empty() &&
           text_of(other.fields, "content") == content;
}

bool log_trace::move_of_keys(const log_line &end, const log_line &other) const {
    const std::string service = text_of(end.fields, "service");
    const std::string subject = text_of(other.fields, "subject");
    const bool of_service = subject == service || subject.rfind(service + "/", 0) == 0;
    const bool loss = text_of(other.fields, "kind") == "expire_targets";
    return is_event(other, "decision") && !service.empty() && (of_service || loss);
}

bool log_trace::state_of_process(const log_line &end, const log_line &other) const {
    constexpr std::array<std::string_view, 6> events{"started",         "stop_begun",
                                                     "target_leaves",   "target_draining",
                                                     "routes_in_force", "registration"};
    return other.process == end.process &&
           std::any_of(events.begin(), events.end(),
                       [&](std::string_view event) { return is_event(other, event); });
}

std::vector<cause_count> log_trace::summary() const {
    std::map<std::pair<std::string, std::string>, std::uint64_t> sums;
    for (const log_line &line : m_lines) {
        const auto answers = line.fields.find("answers");
        if (!is_event(line, "traffic_summary") || answers == line.fields.end() ||
            !answers->is_object()) {
            continue;
        }
        for (const auto &[route, causes] : answers->items()) {
            for (const auto &[cause, count] : causes.items()) {
                sums[{route, cause}] += count.is_number() ? count.get<std::uint64_t>() : 0;
            }
        }
    }
    std::vector<cause_count> result;
    result.reserve(sums.size());
    for (const auto &[key, count] : sums) {
        result.push_back({key.first, key.second, count});
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const cause_count &a, const cause_count &b) { return a.count > b.count; });
    return result;
}

} // namespace peppertack
