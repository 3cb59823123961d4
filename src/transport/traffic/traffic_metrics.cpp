#include "peppertack/transport/traffic/traffic_metrics.hpp"

#include "peppertack/transport/http/byte_stream.hpp"

#include "peppertack/protocol/error_answer.hpp"

#include <sstream>

namespace peppertack {

namespace {

constexpr unsigned int bins = 24;
constexpr double least_ms = 0.25;
constexpr double most_ms = 16'000;

double milliseconds(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

const char *name_of(hold_call_end::kind result) {
    switch (result) {
    case hold_call_end::kind::done: return "done";
    case hold_call_end::kind::token_refused: return "token_refused";
    case hold_call_end::kind::not_sent: return "not_sent";
    case hold_call_end::kind::lost: break;
    }
    return "lost";
}

} // namespace

traffic_metrics::histogram traffic_metrics::make_latency_histogram() {
    return boost::histogram::make_histogram(axis(bins, least_ms, most_ms));
}

void traffic_metrics::note_answer(const std::string &route, int status, error_kind error,
                                  duration took) {
    ++m_answers;
    ++m_by_error.at(static_cast<std::size_t>(error));
    ++m_by_status_class[status / 100];
    ++m_by_cause[route]
                [error == error_kind::none ? std::to_string(status) : answer_for(error).name];
    m_by_route.try_emplace(route, make_latency_histogram()).first->second(milliseconds(took));
}

void traffic_metrics::note_late(const std::string &route, bool returned) {
    ++m_by_cause[route][returned ? "late-returned" : "late"];
}

void traffic_metrics::note_queue(duration waited) {
    m_queue(milliseconds(waited));
}

void traffic_metrics::note_body_wait(duration waited) {
    m_body_wait(milliseconds(waited));
}

void traffic_metrics::note_target(duration took) {
    m_target(milliseconds(took));
}

void traffic_metrics::note_hold_call(hold_call::kind what, hold_call_end::kind result) {
    ++m_hold_calls[{what, result}];
}

std::string traffic_metrics::text() const {
    std::ostringstream out;
    const auto write_histogram = [&out](const std::string &name, const std::string &labels,
                                        const histogram &values) {
        double total = values.at(-1);
        for (int bin = 0; bin < values.axis(0).size(); ++bin) {
            total += values.at(bin);
            out << name << "_bucket{" << labels << "le=\"" << values.axis(0).bin(bin).upper()
                << "\"} " << total << "\n";
        }
        total += values.at(values.axis(0).size());
        out << name << "_bucket{" << labels << "le=\"+Inf\"} " << total << "\n";
    };
    for (std::size_t kind = 0; kind < m_by_error.size(); ++kind) {
        if (m_by_error[kind] != 0) {
            out << "peppertack_answers_total{cause=\""
                << answer_for(static_cast<error_kind>(kind)).name << "\"} " << m_by_error[kind]
                << "\n";
        }
    }
    for (const auto &[status, count] : m_by_status_class) {
        out << "peppertack_answers_by_status_total{class=\"" << status << "xx\"} " << count << "\n";
    }
    out << "peppertack_retries_total " << m_retries << "\n";
    out << "peppertack_cancelled_total " << m_cancelled << "\n";
    out << "peppertack_target_limits_unreadable_total " << m_unreadable_limits << "\n";
    out << "peppertack_target_calls_refused_total " << m_refused_calls << "\n";
    out << "peppertack_given_up_total{state=\"running\"} " << m_given_up_running << "\n";
    out << "peppertack_given_up_total{state=\"waiting\"} " << m_given_up_waiting << "\n";
    for (const auto &[call, count] : m_hold_calls) {
        out << "peppertack_hold_calls_total{call=\""
            << (call.first == hold_call::kind::grant ? "grant" : "release") << "\",result=\""
            << name_of(call.second) << "\"} " << count << "\n";
    }
    for (const auto &[route, values] : m_by_route) {
        write_histogram("peppertack_answer_ms", "route=\"" + route + "\",", values);
    }
    write_histogram("peppertack_queue_ms", "", m_queue);
    write_histogram("peppertack_body_wait_ms", "", m_body_wait);
    write_histogram("peppertack_target_ms", "", m_target);
    const byte_stream::traffic &bytes = byte_stream::thread_traffic();
    out << "peppertack_stream_bytes_total{direction=\"in\"} " << bytes.read << "\n";
    out << "peppertack_stream_bytes_total{direction=\"out\"} " << bytes.written << "\n";
    out << m_thread_delay.text() << m_read_delay.text();
    return out.str();
}

} // namespace peppertack
