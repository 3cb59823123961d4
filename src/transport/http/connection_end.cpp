#include "peppertack/transport/http/connection_end.hpp"

#include <cerrno>

namespace peppertack {

const char *name_of(connection_end cause) {
    switch (cause) {
    case connection_end::answered: return "answered";
    case connection_end::peer_ended: return "peer_ended";
    case connection_end::peer_reset: return "peer_reset";
    case connection_end::unacknowledged: return "unacknowledged";
    case connection_end::idle: return "idle";
    case connection_end::answer_cut: return "answer_cut";
    case connection_end::no_memory: return "no_memory";
    case connection_end::server_stopped: break;
    }
    return "server_stopped";
}

connection_end end_by_system(int error) {
    if (error == 0) {
        return connection_end::peer_ended;
    }
    return error == ETIMEDOUT ? connection_end::unacknowledged : connection_end::peer_reset;
}

std::string connection_end_counts::text(const std::string &side) const {
    std::string result;
    for (const bool unanswered : {false, true}) {
        for (std::size_t i = 0; i < connection_end_count; ++i) {
            const auto cause = static_cast<connection_end>(i);
            if (count(cause, unanswered) != 0) {
                result += "peppertack_connections_ended_total{side=\"" + side + "\",cause=\"" +
                          name_of(cause) + "\",unanswered=\"" + (unanswered ? "yes" : "no") +
                          "\"} " + std::to_string(count(cause, unanswered)) + "\n";
            }
        }
    }
    return result;
}

} // namespace peppertack
