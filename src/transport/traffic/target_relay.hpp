#pragma once

#include "peppertack/protocol/hop_header.hpp"
#include "peppertack/transport/traffic/traffic_host.hpp"
#include "request_body.hpp"

namespace peppertack {

/// A request that another node forwards, at the node beside the chosen target: waits for its turn,
/// is given to the target, and the answer streams back. Whatever is refused here has not run.
class target_relay final : public http_request_handler,
                           public http_response_handler,
                           public timed_request,
                           public std::enable_shared_from_this<target_relay> {
public:
    static std::shared_ptr<target_relay> make(traffic_host &host,
                                              const std::shared_ptr<http_exchange> &sender);
    target_relay(traffic_host &host, const std::shared_ptr<http_exchange> &sender);
    ~target_relay() override;

    void on_request_body(std::string_view piece) override;
    void on_request_end() override;
    void on_caller_gone() override;
    void on_caller_drained() override;
    void on_response_head(http_head head) override;
    void on_response_body(std::string_view piece) override;
    void on_response_end() override;
    void on_call_failed(call_failure why, const std::string &reason) override;
    void on_call_drained() override { m_body.on_drained(); }
    void on_time(instant now) override;
    void on_process_end(instant now) override;

private:
    enum class phase : std::uint8_t {
        waiting_for_turn, ///< its large body may not come yet
        receiving,
        waiting_for_key,
        queued,
        running,
        done
    };

    void begin();
    std::optional<error_kind> refusal(instant now) const;
    bool admitted(instant now);
    bool expired() const { return m_objective <= m_received; }
    std::optional<admission_level> level(instant now) const;
    void offer_body(instant now);
    void take_body(instant now);
    void end_turn(std::optional<duration> took);
    instant key_limit() const;
    work_queue::item item() const;
    void offer(instant now);
    void count_key();
    const char *phase_name() const;
    void start(instant now);
    bool nothing_sent() const;
    void stop_waiting(instant now);
    void refuse(error_kind kind, instant now, duration retry_after);
    void fail(error_kind kind, instant now);
    void answer(error_kind kind, const hop_reply &hop);
    void note_target_word(const http_head &answer);
    /// Leaves the queue or the target's slots.
    void after_key_refused(instant now);
    void leave_queue(std::optional<duration> took);

    traffic_host &m_host;
    std::shared_ptr<http_exchange> m_sender;
    request_body m_body;
    std::uint64_t m_id;
    std::string m_request_id;
    hop_request m_hop;
    int m_priority = 0; ///< 0 is the most urgent
    /// Of the requests that make such calls; nothing if this is a direct request.
    std::optional<int> m_parent_priority;
    phase m_phase = phase::receiving;
    instant m_received{};
    instant m_deadline{};
    instant m_waiting_limit{}; ///< from then on it isn't sent to the target any more
    instant m_objective{};
    instant m_started{};
    instant m_turn_at{};       ///< since when its body has been coming; zero without a turn
    std::string m_target_name; ///< the local target when the request came
    std::uint64_t m_life = 0;  ///< incarnation of the target that was given the request
    std::shared_ptr<http_call> m_call;
    int m_status = 0;
    bool m_attempted = false;   ///< it was offered to the target before
    bool m_key_refused = false; ///< the target does not hold the key, by the answer that comes
    bool m_not_executed = false;
    bool m_counted = false;  ///< for the load of its key
    bool m_taken = false;    ///< not refused when it came: this node finishes it before it stops
    bool m_admitted = false; ///< the services that the target calls leave room for it
    bool m_offered = false;  ///< noted by the board of admission
};

} // namespace peppertack
