#include "peppertack/coordination/crash_watch.hpp"

#include "peppertack/coordination/planted_defects.hpp"

#include <algorithm>

namespace peppertack {

namespace {

constexpr std::size_t most_lost = 512;
constexpr std::size_t most_reported = 256;
constexpr std::size_t most_ended = 16;
/// Power of two. The answers of 5 s at 60 requests a second fit ten times.
constexpr std::size_t answered_places = 4096;
/// A request that was answered so shortly before, here, is not what ended the target.
constexpr duration acquitted_by_answer = std::chrono::seconds(5);
/// An answer of a process that has just ended may be read so long after other connections broke.
constexpr duration answer_lag = std::chrono::milliseconds(200);
/// Runs that broke off longer before the end had another cause.
constexpr duration longest_end = std::chrono::seconds(10);
/// Connections break before and after it is certain that the process has ended.
constexpr duration report_delay = std::chrono::milliseconds(50);
/// A report that no leader could be told of for so long is of no use any more.
constexpr duration report_lifetime = std::chrono::seconds(60);

} // namespace

void crash_watch::note_answered(std::uint64_t fingerprint, std::uint64_t life,
                                const suspect_list &known, instant now) {
    m_answering = life;
    m_answered_at = now;
    m_answered.resize(answered_places);
    m_answered[fingerprint % answered_places] = {fingerprint, now};
    if (known.suspects(fingerprint) && !g_defects.ignore_answered) {
        m_acquitted.insert(fingerprint);
    }
}

void crash_watch::note_unanswered(std::uint64_t fingerprint, std::uint64_t life, instant now) {
    if (fingerprint == 0) {
        return;
    }
    m_lost.push_back({fingerprint, life, now});
    if (m_lost.size() > most_lost) {
        m_lost.pop_front();
    }
}

void crash_watch::note_end(const std::string &target, std::uint64_t life, instant now) {
    std::erase_if(m_ended,
                  [&](const ended_life &ended) { return ended.at + report_lifetime < now; });
    const bool known = std::any_of(m_ended.begin(), m_ended.end(),
                                   [&](const ended_life &ended) { return ended.life == life; });
    if (!known && m_ended.size() < most_ended) {
        m_ended.push_back({target, life, now});
    }
}

/// It may be popular: then it was running at a target that something else has ended.
bool crash_watch::answered_before(const lost_run &run) const {
    if (m_answered.empty() || g_defects.ignore_answered) {
        return false;
    }
    const answered_run &answered = m_answered[run.fingerprint % answered_places];
    return answered.fingerprint == run.fingerprint && run.at < answered.at + acquitted_by_answer;
}

std::vector<std::uint64_t> crash_watch::running_at_end(const ended_life &ended) const {
    instant from = ended.at - longest_end;
    if (m_answering == ended.life) {
        from = std::max(from, m_answered_at - answer_lag);
    }
    std::vector<std::uint64_t> running;
    for (auto run = m_lost.rbegin(); run != m_lost.rend(); ++run) {
        const bool known =
            std::find(running.begin(), running.end(), run->fingerprint) != running.end();
        if (run->life == ended.life && run->at >= from && !known && !answered_before(*run) &&
            running.size() < most_reported) {
            running.push_back(run->fingerprint);
        }
    }
    return running;
}

std::vector<crash_report> crash_watch::due(instant now) const {
    std::vector<crash_report> reports;
    for (const ended_life &ended : m_ended) {
        if (now < ended.at + report_delay) {
            continue;
        }
        crash_report report{
            .target = ended.target, .life = ended.life, .running = running_at_end(ended)};
        if (!report.running.empty()) {
            reports.push_back(std::move(report));
        }
    }
    return reports;
}

bool crash_watch::urgent(instant now) const {
    return std::any_of(m_ended.begin(), m_ended.end(), [&](const ended_life &ended) {
        return !ended.told && ended.at + report_delay <= now;
    });
}

void crash_watch::fill_report(renew_request &request, const suspect_list &known, instant now) {
    request.crashes = due(now);
    if (g_defects.report_crash_once) {
        std::erase_if(m_ended,
                      [&](const ended_life &ended) { return ended.at + report_delay <= now; });
    }
    for (ended_life &ended : m_ended) {
        ended.told = ended.told || ended.at + report_delay <= now;
    }
    std::erase_if(m_acquitted,
                  [&](std::uint64_t fingerprint) { return !known.suspects(fingerprint); });
    request.acquitted.assign(m_acquitted.begin(), m_acquitted.end());
}

void crash_watch::recorded(const std::vector<std::uint64_t> &lives) {
    const auto listed = [&](const auto &item) {
        return std::find(lives.begin(), lives.end(), item.life) != lives.end();
    };
    std::erase_if(m_ended, listed);
    std::erase_if(m_lost, listed);
}

} // namespace peppertack
