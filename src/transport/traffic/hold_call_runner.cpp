#include "peppertack/transport/traffic/hold_call_runner.hpp"

#include "peppertack/transport/json_log.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace peppertack {

/// One call and its answer.
class hold_call_runner::exchange final : public http_response_handler {
public:
    exchange(hold_call_runner &runner, hold_call call)
        : m_runner(runner), m_call(std::move(call)) {}

    std::optional<whole_call> make(const std::string &address) {
        const auto length = m_runner.m_callbacks.write(m_call.id);
        m_written = length.has_value();
        return length ? std::optional(m_runner.m_format->request(m_call, address, *length))
                      : std::nullopt;
    }
    void keep(std::shared_ptr<http_call> http) { m_http = std::move(http); }
    void cancel() {
        if (m_http) {
            m_http->cancel();
        }
    }
    /// It got no answer in time.
    void lose() {
        cancel();
        log_lost("no answer in time");
        m_runner.end(m_call, {.result = hold_call_end::kind::lost});
    }

    void on_response_head(http_head head) override { m_head = std::move(head); }
    void on_response_body(std::string_view) override {}
    void on_response_end() override {
        hold_call_end how = m_runner.m_format->read_answer(m_call, m_head);
        how.identified = how.identified || !m_http->reused();
        how.connection = m_http->connection_number();
        if (m_call.what == hold_call::kind::release) {
            cancel(); // a repetition of this answer must find no other call
        }
        m_runner.end(m_call, how);
    }
    void on_call_failed(call_failure why, const std::string &reason) override {
        const hold_call_end how{.result = m_written ? hold_call_end::kind::lost
                                                    : hold_call_end::kind::not_sent};
        if (m_written) {
            log_lost(reason);
        }
        const std::optional<instant> refused =
            why == call_failure::refused ? std::optional(m_http->connection_begun()) : std::nullopt;
        m_runner.end(m_call, how, refused);
    }

private:
    void log_lost(const std::string &reason) const {
        log_event(log_level::info, "hold_call_lost",
                  {{"call", m_call.what == hold_call::kind::grant ? "grant" : "release"},
                   {"from", m_call.span.from},
                   {"to", m_call.span.to},
                   {"token", m_call.span.token},
                   {"reason", reason}});
    }

    hold_call_runner &m_runner;
    hold_call m_call;
    http_head m_head;
    std::shared_ptr<http_call> m_http;
    bool m_written = false;
};

hold_call_runner::hold_call_runner(http_client_pool &pool,
                                   std::shared_ptr<const hold_call_format> format, callbacks calls)
    : m_pool(pool), m_format(std::move(format)), m_callbacks(std::move(calls)) {}

hold_call_runner::~hold_call_runner() = default;

void hold_call_runner::start(const hold_call &call, const std::string &address) {
    auto item = std::make_shared<exchange>(*this, call);
    m_running[call.id] = item;
    const std::weak_ptr<exchange> weak = item;
    item->keep(m_pool.start_late(
        address,
        [weak, address]() -> std::optional<whole_call> {
            const auto still = weak.lock();
            return still ? still->make(address) : std::nullopt;
        },
        item, call.alone));
}

void hold_call_runner::lose(std::uint64_t id) {
    const auto found = m_running.find(id);
    if (found != m_running.end()) {
        const auto item = found->second; // lives until this returns
        item->lose();
    }
}

void hold_call_runner::keep_only(const std::function<bool(std::uint64_t)> &wanted) {
    for (auto place = m_running.begin(); place != m_running.end();) {
        if (wanted(place->first)) {
            ++place;
            continue;
        }
        place->second->cancel();
        place = m_running.erase(place);
    }
}

void hold_call_runner::end(const hold_call &call, const hold_call_end &how,
                           std::optional<instant> refused) {
    const auto kept = m_running.extract(call.id); // lives until this returns
    m_callbacks.end(call, how);
    if (refused) {
        m_callbacks.refused(*refused);
    }
}

} // namespace peppertack
