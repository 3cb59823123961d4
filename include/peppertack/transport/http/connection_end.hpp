#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace peppertack {

/// Why a connection of a server ended.
enum class connection_end : std::uint8_t {
    answered,       ///< after an answer that announced it
    peer_ended,     ///< by the other side, in order
    peer_reset,     ///< by the other side, at once
    unacknowledged, ///< the other side acknowledged nothing for too long
    idle,           ///< nothing was sent on it for as long as it may be idle
    answer_cut,     ///< an answer that had begun could not be finished
    no_memory,      ///< its caller took nothing, and the process held as much as it may
    server_stopped  ///< the server takes no more requests
};
inline constexpr std::size_t connection_end_count = 8;

/// Name of a cause in logs and metrics.
const char *name_of(connection_end cause);

/// Cause of an end that the system reported. `error`: its error number, 0 for an end in order.
connection_end end_by_system(int error);

/// Connections that have ended, by cause. Not thread safe.
class connection_end_counts {
public:
    /// `unanswered`: requests of the connection were in progress, or waited unread.
    void note(connection_end cause, bool unanswered) {
        ++m_counts[unanswered ? 1 : 0].at(static_cast<std::size_t>(cause));
    }
    std::uint64_t count(connection_end cause, bool unanswered) const {
        return m_counts[unanswered ? 1 : 0].at(static_cast<std::size_t>(cause));
    }
    /// Counters other than zero in the Prometheus exposition format. `side`: value of a label.
    std::string text(const std::string &side) const;

private:
    std::array<std::array<std::uint64_t, connection_end_count>, 2> m_counts{};
};

} // namespace peppertack
