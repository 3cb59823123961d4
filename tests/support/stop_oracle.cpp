#include "stop_oracle.hpp"

#include "wall_clock.hpp"

#include <algorithm>

namespace peppertack::testing {

namespace {

std::string ms_text(duration time) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

void stop_oracle::note_sent(const std::string &id, std::size_t node, instant limit) {
    m_requests[id] = {
        .node = node, .sent_ms = read_clocks().wall_ms, .sent = steady_instant(), .limit = limit};
}

void stop_oracle::note_answer(const std::string &id, int status, bool unsent) {
    request &asked = m_requests[id];
    asked.unsent = unsent;
    asked.answered = steady_instant();
    asked.status = status;
}

void stop_oracle::note_run(const std::string &id, std::size_t target) {
    m_requests[id].runs.push_back({.target = target, .began = steady_instant()});
}

void stop_oracle::note_run_end(const std::string &id, std::size_t target, bool cut) {
    std::vector<run> &runs = m_requests[id].runs;
    const auto found = std::find_if(runs.rbegin(), runs.rend(), [&](const run &one) {
        return one.target == target && one.ended == instant{};
    });
    if (found != runs.rend()) {
        found->ended = steady_instant();
        found->cut = cut;
    }
}

void stop_oracle::note_stop(std::size_t node) {
    m_stops[node].push_back(steady_instant());
}

std::vector<std::string> stop_oracle::check() {
    std::vector<std::string> violations;
    for (const auto &[id, asked] : m_requests) {
        ++m_tally.answers[asked.status];
        judge(id, asked, violations);
    }
    m_requests.clear();
    return violations;
}

void stop_oracle::judge(const std::string &id, const request &asked,
                        std::vector<std::string> &violations) {
    const bool served = asked.status == 200;
    std::vector<instant> cuts;
    for (const run &one : asked.runs) {
        ++m_tally.runs;
        if (one.cut) {
            cuts.push_back(one.ended);
        }
    }
    m_tally.cut += cuts.size();
    m_tally.cut_served += served ? cuts.size() : 0;
    if (asked.status == 0) {
        violations.push_back(story(id, asked) + ": never answered");
    } else if (served) {
        return;
    } else if (asked.runs.empty()) {
        judge_without_run(id, asked, violations);
        return;
    }
    const instant given_up =
        cuts.empty() ? asked.answered : *std::min_element(cuts.begin(), cuts.end());
    const bool at_work = std::any_of(asked.runs.begin(), asked.runs.end(), [&](const run &one) {
        return one.cut || one.ended > given_up;
    });
    if (given_up >= asked.limit) {
        ++m_tally.out_of_time;
    } else if (at_work && in_last_sixth(asked, given_up)) {
        ++m_tally.last_sixth;
    } else {
        ++(at_work ? m_tally.given_up : m_tally.lost_answers);
        violations.push_back(story(id, asked) + (at_work
                                                     ? ": given up though its target was at work"
                                                     : ": the target's answer was lost"));
    }
}

void stop_oracle::judge_without_run(const std::string &id, const request &asked,
                                    std::vector<std::string> &violations) {
    if (asked.status == 502) {
        ++m_tally.unfounded;
        violations.push_back(story(id, asked) + ": it reached no target");
    } else if (asked.status == -1 && !asked.unsent) {
        const bool owed = asked.answered > asked.sent + m_options.lost_after;
        ++(owed ? m_tally.unanswered : m_tally.crossed);
        if (owed) {
            violations.push_back(story(id, asked) + ": its connection ended without an answer");
        }
    }
}

bool stop_oracle::in_last_sixth(const request &asked, instant given_up) const {
    const auto found = m_stops.find(asked.node);
    return found != m_stops.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](instant stop) {
               return asked.sent <= stop + m_options.sent_by &&
                      given_up >= stop + m_options.grace * 5 / 6 &&
                      given_up <= stop + m_options.grace;
           });
}

std::string stop_oracle::since_stop(std::size_t node, instant at) const {
    const auto found = m_stops.find(node);
    if (found == m_stops.end()) {
        return "";
    }
    const auto next = std::upper_bound(found->second.begin(), found->second.end(), at);
    const bool stopping = next != found->second.begin() && at <= *std::prev(next) + m_options.grace;
    return stopping ? " (stop + " + ms_text(at - *std::prev(next)) + ")" : "";
}

std::string stop_oracle::story(const std::string &id, const request &asked) const {
    std::string text = id + " sent at " + std::to_string(asked.sent_ms) + " to node " +
                       std::to_string(asked.node) + (asked.kept ? " on a kept connection" : "") +
                       since_stop(asked.node, asked.sent);
    for (const run &one : asked.runs) {
        text += ", ran at target " + std::to_string(one.target) + " from " +
                ms_text(one.began - asked.sent) + since_stop(one.target, one.began) + " to " +
                ms_text(one.ended - asked.sent) + since_stop(one.target, one.ended) +
                (one.cut ? " cut" : "");
    }
    return text + ", answered " + std::to_string(asked.status) + " at " +
           ms_text(asked.answered - asked.sent) + since_stop(asked.node, asked.answered);
}

} // namespace peppertack::testing
