#include "peppertack/coordination/graceful_stop.hpp"

#include <algorithm>

namespace peppertack {

void graceful_stop::begin(instant now) {
    if (!m_begun) {
        m_begun = true;
        m_since = now;
    }
}

bool graceful_stop::takes_from_caller(bool nested, instant deadline, instant now) const {
    if (m_phase >= phase::closing) {
        return false;
    }
    return !m_begun || elapsed(now) <= m_options.refusal || (nested && may_start(deadline));
}

bool graceful_stop::take_give_up(instant now) {
    if (!m_begun || m_gave_up || now <= gives_up_at()) {
        return false;
    }
    m_gave_up = true;
    return true;
}

duration graceful_stop::remaining(duration run, instant now) const {
    if (m_phase >= phase::closing) {
        return {};
    }
    const duration passed = elapsed(now);
    const duration acceptance = std::max(m_options.acceptance - passed, duration{});
    return std::clamp(acceptance + run, duration{}, std::max(m_options.limit - passed, duration{}));
}

graceful_stop::phase graceful_stop::advance(const open_work &open, instant now) {
    const duration passed = elapsed(now);
    const bool callers_gone = passed > m_options.acceptance && open.callers == 0;
    // Some callers never cease, and other nodes go on sending what only this target can do.
    const bool waited_enough = passed > m_options.acceptance * 2;
    if (passed > m_options.limit) {
        m_phase = phase::ended;
    } else if (m_phase == phase::serving && (callers_gone || waited_enough)) {
        m_phase = phase::finishing;
    } else if (m_phase == phase::finishing && callers_gone && open.requests == 0) {
        m_phase = phase::closing;
        m_closing_since = now;
    } else if (m_phase == phase::closing && open.requests == 0 && open.unsent == 0) {
        const bool told = open.connections == 0 || now > m_closing_since + m_options.closing_time;
        m_phase = told ? phase::ended : phase::closing;
    }
    return m_phase;
}

const char *name_of(graceful_stop::phase value) {
    switch (value) {
    case graceful_stop::phase::serving: return "serving";
    case graceful_stop::phase::finishing: return "finishing";
    case graceful_stop::phase::closing: return "closing";
    case graceful_stop::phase::ended: break;
    }
    return "ended";
}

} // namespace peppertack
