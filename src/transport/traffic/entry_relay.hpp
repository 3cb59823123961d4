#pragma once

#include "peppertack/protocol/hop_header.hpp"
#include "peppertack/transport/traffic/traffic_host.hpp"
#include "request_body.hpp"

namespace peppertack {

/// A caller's request at the node that took it: finds its route and a target, forwards it to the
/// node beside that target, and brings the answer back. Sends it to another target only where it
/// certainly has not run, or may run more than once.
class entry_relay final : public http_request_handler,
                          public http_response_handler,
                          public timed_request,
                          public std::enable_shared_from_this<entry_relay> {
public:
    static std::shared_ptr<entry_relay> make(traffic_host &host,
                                             const std::shared_ptr<http_exchange> &caller);
    entry_relay(traffic_host &host, const std::shared_ptr<http_exchange> &caller);
    ~entry_relay() override;

    void on_request_body(std::string_view piece) override;
    void on_request_end() override;
    void on_caller_gone() override;
    void on_caller_drained() override;
    void on_response_head(http_head head) override;
    void on_response_body(std::string_view piece) override;
    void on_response_end() override;
    void on_call_failed(call_failure why, const std::string &reason) override;
    void on_continue() override { m_body.go_ahead(); }
    void on_call_drained() override { m_body.on_drained(); }
    void on_time(instant now) override;
    void on_process_end(instant now) override;
    bool awaited_by_caller() const override { return !m_done && !m_nested; }

private:
    void begin();
    void await_routes(instant now);
    void admit();
    bool read_route();
    bool read_key();
    void deny_by_table(error_kind kind);
    std::string pick_service() const;
    std::uint64_t fingerprint() const;
    void dispatch(instant now);
    target_number choose(instant now);
    admission_class admission() const;
    bool large_body() const;
    void send_to(const target_route &target, instant now);
    bool may_dispatch() const { return !m_call && !m_parked && !m_awaits_routes; }
    bool may_be_at_target() const;
    void after_not_run(error_kind kind, duration retry_after, instant now);
    void after_unknown(error_kind kind, instant now);
    bool retry_executed_nowhere(instant now);
    void park(error_kind kind, instant now);
    void await_return(const unavailable_targets::absence &gone, instant now);
    void pass_on();
    void begin_passing_on();
    void refuse(error_kind kind, outcome result, duration retry_after);
    void done();
    const char *phase_name() const;
    void log_denial(int status, error_kind kind, instant now);
    void log_end(int status, error_kind kind, instant now);
    instant park_limit() const;

    traffic_host &m_host;
    std::shared_ptr<http_exchange> m_caller;
    request_body m_body;
    std::string m_id;
    route m_route; ///< a copy: the routing table may change meanwhile
    std::string m_service;
    bool m_nested = false; ///< called by a request that the local target runs
    std::optional<std::uint32_t> m_key;
    std::uint64_t m_fingerprint = 0; ///< of what is asked; zero until it is first sent on
    instant m_received{};            ///< when it could be read, which may be before its turn came
    instant m_begun{};               ///< when its turn came
    instant m_asked{};               ///< when the caller first asked, as far as it was refused here
    instant m_caller_deadline{};     ///< up to which the caller waits, whatever the route allows
    instant m_objective{};
    instant m_deadline{};
    bool m_done = false;
    bool m_awaits_routes = false; ///< the node has no routing table yet
    instant m_routes_limit{};     ///< until when it waits for that
    bool m_parked = false;
    error_kind m_parked_for = error_kind::none;
    instant m_retry_at{};
    std::set<target_number> m_tried;
    std::uint32_t m_arrivals = 0; ///< targets at which the request may have arrived
    bool m_may_have_run = false;  ///< an earlier attempt had no certain end
    // ---- the present attempt ----
    std::shared_ptr<http_call> m_call;
    target_number m_target = no_target;
    std::string m_target_name;
    std::string m_address; ///< IP:port of the node beside the target
    instant m_sent{};
    hop_reply m_hop;
    bool m_hop_known = false;
    http_head m_answer;
    std::string m_answer_body;
    bool m_passing_on = false;
};

} // namespace peppertack
