#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace peppertack {

/// Bound on the memory of answers that are ready, or partly here, while an earlier request of their
/// connection is still unanswered. It decides whether one more request starts; an answer that has
/// outgrown its reserve is paused, but may exceed the bound by what was read before. Not thread
/// safe.
class held_answer_budget {
public:
    struct options {
        std::size_t limit = 8U << 20U; ///< bytes of all connections of a server
        /// Bytes charged for each request that is handled behind another, even before its answer
        /// comes: answers up to this size are passed on only when whole.
        std::size_t reserve = 64U << 10U;
    };

    explicit held_answer_budget(options settings) : m_options(settings) {}
    held_answer_budget(const held_answer_budget &) = delete;
    held_answer_budget &operator=(const held_answer_budget &) = delete;

    /// Whether more is held than may be.
    bool exceeded() const { return m_charged > m_options.limit; }
    /// Whether one more request may be handled behind another.
    bool has_room() const { return m_charged + m_options.reserve <= m_options.limit; }
    /// Bytes charged now.
    std::size_t charged() const { return m_charged; }
    const options &settings() const { return m_options; }

private:
    friend class held_answer;

    options m_options;
    std::size_t m_charged = 0;
};

/// An answer that waits for those before it, charged to a budget for as long as this object lives.
/// Precondition: the budget outlives it. Not thread safe.
class held_answer {
public:
    explicit held_answer(held_answer_budget &budget);
    ~held_answer();
    held_answer(const held_answer &) = delete;
    held_answer &operator=(const held_answer &) = delete;

    void append(std::string_view bytes);
    /// Drops what is held in favour of `bytes`.
    void replace(std::string bytes);
    /// What was held, which is no longer held afterwards.
    std::string take() { return std::exchange(m_bytes, {}); }
    /// Whether so much is held that its source should pause.
    bool full() const;

private:
    void charge(std::size_t size);

    held_answer_budget &m_budget;
    std::size_t m_charge = 0;
    std::string m_bytes;
};

/// Decides which requests of one connection are handled at the same time.
///
/// Handles callers that send further requests before the first is answered. Handled one after the
/// other, the last of several waits for the sum of their times although there is room everywhere.
/// Only idempotent requests overlap: an earlier answer may end the connection, and the caller then
/// sends all that followed once more. None starts behind an answer that can't be replaced if it
/// breaks off, since targets would work on it in vain. Immutable.
class pipelining_policy {
public:
    struct options {
        /// Requests of one connection at a time. Browsers open about as many connections to a
        /// host, so a caller that pipelines gets no larger share than one that does not.
        std::size_t max_concurrent = 6;
        /// Bytes of answers that the caller has not taken, beyond which it gets no further request
        /// handled: answers up to the size that is passed on only when whole would pile up here.
        std::size_t max_unsent = 256U << 10U;
    };
    enum class request_kind : std::uint8_t {
        exclusive,        ///< in progress alone
        idempotent,       ///< may be in progress with others
        idempotent_large, ///< the same, but its answer is not held until it is whole
    };
    /// What is in progress on a connection.
    struct connection_state {
        std::size_t in_progress = 0;
        bool all_idempotent = true;
        /// Each answer is held until it is whole, and replaced by a failure if it breaks off.
        bool all_replaceable = true;
        bool ends_after = false; ///< no request after these is read from the connection
        std::size_t unsent = 0;  ///< bytes of answers that wait for the caller to read them
    };
    enum class verdict : std::uint8_t {
        start, ///< handle it now
        wait,  ///< read it, but handle it only once all before it are answered
    };

    explicit pipelining_policy(options settings) : m_options(settings) {}

    /// Whether the next request is read at all.
    bool may_read(const connection_state &now, const held_answer_budget &budget) const;
    /// What is done with a request whose head was read. Precondition: `may_read`.
    verdict judge(const connection_state &now, request_kind kind) const;

private:
    options m_options;
};

} // namespace peppertack
