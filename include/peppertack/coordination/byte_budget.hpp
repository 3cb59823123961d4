#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace peppertack {

/// Bound on the bytes that a process holds of requests and answers on their way, however many
/// connections they come by. Whoever holds bytes charges them; what may still be taken in follows
/// from how full the budget is. Not thread safe.
class byte_budget {
public:
    struct options {
        std::size_t limit = 64U << 20U; ///< bytes
    };

    explicit byte_budget(options settings) : m_options(settings) {}
    byte_budget(const byte_budget &) = delete;
    byte_budget &operator=(const byte_budget &) = delete;

    /// Whether a body of which up to `size` bytes are held may be begun. The last part of the
    /// budget is left to those that have begun.
    bool admits(std::size_t size) const {
        return m_charged + size <= m_options.limit - m_options.limit / 4;
    }
    /// Whether nothing more may be held.
    bool full() const { return m_charged >= m_options.limit; }
    /// Bytes that may be queued for one reader before its source is paused; `usual` while there is
    /// room for many like it.
    std::size_t queue_limit(std::size_t usual) const {
        return m_charged < m_options.limit / 2 ? usual : 0;
    }
    /// Bytes charged now.
    std::size_t charged() const { return m_charged; }
    std::size_t limit() const { return m_options.limit; }

    /// Bytes that one holder has.
    class charge {
    public:
        /// Charges nothing at all if `budget` is null.
        explicit charge(std::shared_ptr<byte_budget> budget) : m_budget(std::move(budget)) {}
        ~charge() { set(0); }
        charge(const charge &) = delete;
        charge &operator=(const charge &) = delete;

        void set(std::size_t size) {
            if (m_budget != nullptr) {
                m_budget->m_charged += size - m_size;
                m_size = size;
            }
        }
        /// Whether the budget is full; false without one.
        bool full() const { return m_budget != nullptr && m_budget->full(); }
        /// As the budget's; `usual` without one.
        std::size_t queue_limit(std::size_t usual) const {
            return m_budget == nullptr ? usual : m_budget->queue_limit(usual);
        }
        /// As the budget's; true without one.
        bool admits(std::size_t size) const {
            return m_budget == nullptr || m_budget->admits(size);
        }

    private:
        std::shared_ptr<byte_budget> m_budget;
        std::size_t m_size = 0;
    };

private:
    options m_options;
    std::size_t m_charged = 0;
};

} // namespace peppertack
