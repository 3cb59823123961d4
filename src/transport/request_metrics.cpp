#include "peppertack/transport/request_metrics.hpp"

#include "peppertack/protocol/error_answer.hpp"

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <sstream>

namespace peppertack {

namespace {

namespace bh = boost::histogram;

constexpr double shortest_s = 20e-6;
constexpr double longest_s = 20;
constexpr unsigned int latency_bins = 40;
constexpr int outcomes = 3;

auto make_latency_histogram() {
    using counter = bh::accumulators::thread_safe<std::uint64_t>;
    return bh::make_histogram_with(bh::dense_storage<counter>(),
                                   bh::axis::integer<int>(0, outcomes, "outcome"),
                                   bh::axis::regular<double, bh::axis::transform::log>(
                                       latency_bins, shortest_s, longest_s, "seconds"));
}

} // namespace

class request_metrics::impl {
public:
    decltype(make_latency_histogram()) latency = make_latency_histogram();
    std::array<std::atomic<std::uint64_t>, error_kind_count> errors{};
    std::array<std::atomic<std::uint64_t>, outcomes> total_us{};
};

request_metrics::request_metrics() : m_impl(std::make_unique<impl>()) {}
request_metrics::~request_metrics() = default;

void request_metrics::note(const caller_response &response, std::chrono::duration<double> took) {
    const auto result = static_cast<std::size_t>(response.result);
    m_impl->latency(static_cast<int>(result), took.count());
    m_impl->total_us[result] += static_cast<std::uint64_t>(took.count() * 1e6);
    ++m_impl->errors[static_cast<std::size_t>(response.error)];
}

std::string request_metrics::text() const {
    std::ostringstream out;
    out << "# HELP peppertack_request_seconds Time from request to answer.\n"
           "# TYPE peppertack_request_seconds histogram\n";
    const auto &seconds = m_impl->latency.axis(1);
    for (int result = 0; result < outcomes; ++result) {
        const std::string label =
            std::string("outcome=\"") + outcome_name(static_cast<outcome>(result)) + "\"";
        std::uint64_t count = 0;
        for (int bin = -1; bin <= seconds.size(); ++bin) {
            count += static_cast<std::uint64_t>(m_impl->latency.at(result, bin));
            out << "peppertack_request_seconds_bucket{" << label << ",le=\"";
            if (bin < seconds.size()) {
                out << seconds.bin(bin).upper();
            } else {
                out << "+Inf";
            }
            out << "\"} " << count << "\n";
        }
        const double total =
            static_cast<double>(m_impl->total_us[static_cast<std::size_t>(result)]);
        out << "peppertack_request_seconds_sum{" << label << "} " << total / 1e6 << "\n"
            << "peppertack_request_seconds_count{" << label << "} " << count << "\n";
    }
    out << "# HELP peppertack_requests_total Requests by kind of error.\n"
           "# TYPE peppertack_requests_total counter\n";
    for (std::size_t kind = 0; kind < m_impl->errors.size(); ++kind) {
        out << "peppertack_requests_total{error=\""
            << answer_for(static_cast<error_kind>(kind)).name << "\"} " << m_impl->errors[kind]
            << "\n";
    }
    return out.str();
}

std::string metric_line(const std::string &name, double value) {
    std::ostringstream out;
    out << "peppertack_" << name << " " << value << "\n";
    return out.str();
}

} // namespace peppertack
