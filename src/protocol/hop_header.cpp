#include "peppertack/protocol/hop_header.hpp"

#include "peppertack/protocol/error_answer.hpp"
#include "percent_code.hpp"

#include <charconv>
#include <cmath>
#include <vector>

namespace peppertack {

namespace {

constexpr char separator = ';';
constexpr std::string_view absent = "-";
constexpr double per_mille = 1000;

template <class Number> void put(std::string &out, Number value) {
    out.append(std::to_string(value)).push_back(separator);
}

/// Operators choose names freely. One that holds a separator, or the end of a line, must not change
/// how the rest of the header or of the request is read.
void put_name(std::string &out, std::string_view name) {
    out.append(percent_encoded(name)).push_back(separator);
}

void put_share(std::string &out, std::optional<double> share) {
    if (share) {
        put(out, std::lround(*share * per_mille));
    } else {
        out.append(absent).push_back(separator);
    }
}

std::vector<std::string_view> parts_of(std::string_view text) {
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const std::size_t end = text.find(separator);
        parts.push_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
    return parts;
}

/// Reads numbers one after the other and remembers whether all of them were.
class number_reader {
public:
    explicit number_reader(std::vector<std::string_view> parts) : m_parts(std::move(parts)) {}

    template <class Number> Number number() {
        const std::string_view part = text();
        Number value{};
        const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), value);
        m_good = m_good && error == std::errc{} && end == part.data() + part.size();
        return value;
    }
    std::string name() {
        const std::optional<std::string> decoded = percent_decoded(text());
        m_good = m_good && decoded;
        return decoded.value_or(std::string());
    }
    std::optional<double> share() {
        const std::string_view part = text();
        if (part == absent) {
            return std::nullopt;
        }
        number_reader one({part});
        const auto value = one.number<long>();
        m_good = m_good && one.done() && value >= 0 && value <= std::lround(per_mille);
        return static_cast<double>(value) / per_mille;
    }
    std::string_view text() {
        m_good = m_good && m_at < m_parts.size();
        return m_good ? m_parts[m_at++] : std::string_view{};
    }
    bool done() const { return m_good && m_at == m_parts.size(); }

private:
    std::vector<std::string_view> m_parts;
    std::size_t m_at = 0;
    bool m_good = true;
};

} // namespace

std::string encode(const hop_request &value) {
    std::string out;
    put(out, value.target);
    put_name(out, value.service);
    put_name(out, value.route);
    put(out, value.priority);
    put(out, value.repeat ? 1 : 0);
    put(out, value.first_choice ? 1 : 0);
    put(out, value.expendable ? 1 : 0);
    put_share(out, value.admitted);
    out.append(value.key ? std::to_string(*value.key) : std::string(absent)).push_back(separator);
    put(out, value.fingerprint);
    put(out, value.objective_left.count());
    put(out, value.time_left.count());
    return out;
}

std::optional<hop_request> decode_hop_request(std::string_view text) {
    number_reader in(parts_of(text));
    hop_request value;
    value.target = in.number<target_number>();
    value.service = in.name();
    value.route = in.name();
    value.priority = in.number<int>();
    value.repeat = in.number<int>() != 0;
    value.first_choice = in.number<int>() != 0;
    value.expendable = in.number<int>() != 0;
    value.admitted = in.share().value_or(1);
    const std::string_view key = in.text();
    if (key != absent) {
        number_reader one({key});
        value.key = one.number<std::uint32_t>();
        if (!one.done()) {
            return std::nullopt;
        }
    }
    value.fingerprint = in.number<std::uint64_t>();
    value.objective_left = duration(in.number<duration::rep>());
    value.time_left = duration(in.number<duration::rep>());
    return in.done() ? std::optional(value) : std::nullopt;
}

std::string encode(const hop_reply &value) {
    std::string out;
    put(out, value.load.in_flight);
    put(out, value.load.waiting);
    put(out, value.load.limit);
    put(out, value.load.service_time.count());
    put(out, value.load.body_wait.count());
    put(out, value.load.backlog.count());
    put(out, value.load.route_time.count());
    put(out, static_cast<int>(value.refused));
    put(out, value.retry_after.count());
    // Nodes that don't know the failure read any number above 0 as true.
    put(out, value.may_have_run ? 1 + static_cast<int>(value.failure) : 0);
    put_share(out, value.level ? std::optional(value.level->fresh) : std::nullopt);
    put_share(out, value.level ? std::optional(value.level->expired) : std::nullopt);
    return out;
}

std::optional<hop_reply> decode_hop_reply(std::string_view text) {
    number_reader in(parts_of(text));
    hop_reply value;
    value.load.in_flight = in.number<std::uint32_t>();
    value.load.waiting = in.number<std::uint32_t>();
    value.load.limit = in.number<std::uint32_t>();
    value.load.service_time = duration(in.number<duration::rep>());
    value.load.body_wait = duration(in.number<duration::rep>());
    value.load.backlog = duration(in.number<duration::rep>());
    value.load.route_time = duration(in.number<duration::rep>());
    const int refused = in.number<int>();
    value.retry_after = duration(in.number<duration::rep>());
    const int unfinished = in.number<int>();
    const std::optional<double> fresh = in.share();
    const std::optional<double> expired = in.share();
    if (fresh && expired) {
        value.level = admission_level{.fresh = *fresh, .expired = *expired};
    }
    if (!in.done() || refused < 0 || refused >= error_kind_count) {
        return std::nullopt;
    }
    value.may_have_run = unfinished != 0;
    if (unfinished > 0 && unfinished <= error_kind_count) {
        value.failure = static_cast<error_kind>(unfinished - 1);
    }
    value.refused = refusal_by_other_node(static_cast<error_kind>(refused));
    return value;
}

} // namespace peppertack
