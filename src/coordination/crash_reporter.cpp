#include "peppertack/coordination/crash_reporter.hpp"

#include "peppertack/coordination/planted_defects.hpp"

#include <algorithm>

namespace peppertack {

namespace {

constexpr std::size_t max_lost_runs = 512;
constexpr std::size_t max_running_reported = 256;
constexpr std::size_t max_ended_processes = 16;
/// Power of two; ten times the answers of 5 s at 60 requests per second.
constexpr std::size_t answered_slots = 4096;
/// A request that the local target answered this recently is not considered the cause of its end.
constexpr duration acquittal_window = std::chrono::seconds(5);
/// The answer of a process that has just ended may be read this long after its other connections
/// broke.
constexpr duration answer_lag = std::chrono::milliseconds(200);
/// Requests that broke off longer before the end than this had another cause.
constexpr duration max_time_before_end = std::chrono::seconds(10);
/// Connections break both before and after the end of the process becomes certain.
constexpr duration report_delay = std::chrono::milliseconds(50);
/// A report that reached no leader within this time is discarded.
constexpr duration report_lifetime = std::chrono::seconds(60);

} // namespace

void crash_reporter::note_answered(std::uint64_t fingerprint, std::uint64_t incarnation,
                                   const suspect_list &known, instant now) {
    m_last_answering = incarnation;
    m_last_answer_at = now;
    m_answered.resize(answered_slots);
    m_answered[fingerprint % answered_slots] = {fingerprint, now};
    if (known.suspects(fingerprint) && !g_defects.ignore_answered) {
        m_acquitted.insert(fingerprint);
    }
}

void crash_reporter::note_unanswered(std::uint64_t fingerprint, std::uint64_t incarnation,
                                     instant now) {
    if (fingerprint == 0) {
        return;
    }
    m_lost.push_back({fingerprint, incarnation, now});
    if (m_lost.size() > max_lost_runs) {
        m_lost.pop_front();
    }
}

void crash_reporter::note_end(const std::string &target, std::uint64_t incarnation, instant now) {
    std::erase_if(m_ended,
                  [&](const ended_process &ended) { return ended.at + report_lifetime < now; });
    const bool known = std::any_of(m_ended.begin(), m_ended.end(), [&](const ended_process &ended) {
        return ended.incarnation == incarnation;
    });
    if (!known && m_ended.size() < max_ended_processes) {
        m_ended.push_back({target, incarnation, now});
    }
}

/// A recently answered request may be a popular one that was running at a target that another
/// request crashed.
bool crash_reporter::answered_before(const lost_run &run) const {
    if (m_answered.empty() || g_defects.ignore_answered) {
        return false;
    }
    const answered_run &answered = m_answered[run.fingerprint % answered_slots];
    return answered.fingerprint == run.fingerprint && run.at < answered.at + acquittal_window;
}

std::vector<std::uint64_t> crash_reporter::running_at_end(const ended_process &ended) const {
    instant from = ended.at - max_time_before_end;
    if (m_last_answering == ended.incarnation) {
        from = std::max(from, m_last_answer_at - answer_lag);
    }
    std::vector<std::uint64_t> running;
    for (auto run = m_lost.rbegin(); run != m_lost.rend(); ++run) {
        const bool known =
            std::find(running.begin(), running.end(), run->fingerprint) != running.end();
        if (run->incarnation == ended.incarnation && run->at >= from && !known &&
            !answered_before(*run) && running.size() < max_running_reported) {
            running.push_back(run->fingerprint);
        }
    }
    return running;
}

std::vector<crash_report> crash_reporter::due(instant now) const {
    std::vector<crash_report> reports;
    for (const ended_process &ended : m_ended) {
        if (now < ended.at + report_delay) {
            continue;
        }
        crash_report report{
            .target = ended.target, .life = ended.incarnation, .running = running_at_end(ended)};
        if (!report.running.empty()) {
            reports.push_back(std::move(report));
        }
    }
    return reports;
}

bool crash_reporter::has_unsent_report(instant now) const {
    return std::any_of(m_ended.begin(), m_ended.end(), [&](const ended_process &ended) {
        return !ended.reported && ended.at + report_delay <= now;
    });
}

void crash_reporter::fill_report(renew_request &request, const suspect_list &known, instant now) {
    request.crashes = due(now);
    if (g_defects.report_crash_once) {
        std::erase_if(m_ended,
                      [&](const ended_process &ended) { return ended.at + report_delay <= now; });
    }
    for (ended_process &ended : m_ended) {
        ended.reported = ended.reported || ended.at + report_delay <= now;
    }
    std::erase_if(m_acquitted,
                  [&](std::uint64_t fingerprint) { return !known.suspects(fingerprint); });
    request.acquitted.assign(m_acquitted.begin(), m_acquitted.end());
}

void crash_reporter::recorded(const std::vector<std::uint64_t> &incarnations) {
    const auto listed = [&](const auto &item) {
        return std::find(incarnations.begin(), incarnations.end(), item.incarnation) !=
               incarnations.end();
    };
    std::erase_if(m_ended, listed);
    std::erase_if(m_lost, listed);
}

} // namespace peppertack
