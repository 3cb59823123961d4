#include "peppertack/coordination/pipelining.hpp"

#include <algorithm>

namespace peppertack {

held_answer::held_answer(held_answer_budget &budget) : m_budget(budget) {
    charge(budget.m_options.reserve);
}

held_answer::~held_answer() {
    charge(0);
}

void held_answer::charge(std::size_t size) {
    m_budget.m_charged -= m_charge;
    m_charge = size;
    m_budget.m_charged += m_charge;
}

void held_answer::append(std::string_view bytes) {
    m_bytes.append(bytes);
    charge(std::max(m_budget.m_options.reserve, m_bytes.size()));
}

void held_answer::replace(std::string bytes) {
    m_bytes = std::move(bytes);
    charge(std::max(m_budget.m_options.reserve, m_bytes.size()));
}

bool held_answer::full() const {
    return m_bytes.size() > m_budget.m_options.reserve;
}

bool pipelining_policy::may_read(const connection_state &now,
                                 const held_answer_budget &budget) const {
    if (now.unsent > m_options.max_unsent) {
        return false;
    }
    if (now.in_progress == 0) {
        return true;
    }
    return now.all_idempotent && now.all_replaceable && !now.ends_after &&
           now.in_progress < m_options.max_concurrent && budget.has_room();
}

pipelining_policy::verdict pipelining_policy::judge(const connection_state &now,
                                                    request_kind kind) const {
    const bool overlaps = kind != request_kind::exclusive && now.all_replaceable;
    return now.in_progress == 0 || overlaps ? verdict::start : verdict::wait;
}

} // namespace peppertack
