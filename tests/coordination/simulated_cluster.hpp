#pragma once

#include "fake_storage.hpp"
#include "peppertack/coordination/durable_voter.hpp"
#include "peppertack/coordination/node_core.hpp"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace peppertack::testing {

/// Deterministic simulation of a small cluster: voters, nodes and targets on a simulated network,
/// with simulated disks and clocks, in virtual time. An oracle checks the invariants while it runs
/// and records violations.
class simulated_cluster {
public:
    struct options {
        std::uint64_t seed = 1;
        std::size_t voters = 3;
        std::size_t nodes = 5;  ///< the first `voters` hosts also run a voter
        std::size_t spares = 1; ///< hosts that can replace a lost voter
        bool second_service = true;
        bool checks_tokens = true;
        /// Voters continue while their disks write, as in production.
        bool write_behind = true;
    };

    explicit simulated_cluster(options settings);
    ~simulated_cluster();

    // ---- actions of operators and callers, and faults ----
    void run(duration time);
    enum class request_kind : std::uint8_t { read, once, once_without_key };
    /// Returns the number of the submission.
    std::size_t submit(std::size_t node, unsigned int key, request_kind kind,
                       duration deadline = std::chrono::milliseconds(2000));
    /// Sends a request with the given body, which other requests may share. A target that runs
    /// `crashing_content` crashes.
    std::size_t submit_content(std::size_t node, unsigned int key, const std::string &content,
                               duration deadline = std::chrono::milliseconds(2000));
    static constexpr const char *crashing_content = "crash";
    /// Times at which targets crashed on `crashing_content`, in order.
    const std::vector<instant> &crashes() const { return m_crashes; }
    /// Sends an earlier request of kind `once` again, under the same idempotency key.
    void resend(std::size_t submission, std::size_t node);
    void change_table(std::size_t voter, std::uint64_t base_version, const std::string &change_id,
                      double weight);
    void announce_stop(std::size_t node);
    /// Evacuates the failure domain `zone` % 3, or withdraws that.
    void evacuate(std::size_t voter, std::size_t zone, bool withdrawn);
    void begin_stop(std::size_t node);
    void crash(std::size_t host);
    void restart(std::size_t host);
    void pause(std::size_t host);
    void resume(std::size_t host);
    void block_link(std::size_t from, std::size_t to);
    void heal_network();
    void silence_connection(std::size_t a, std::size_t b);
    void set_message_faults(unsigned int drop_percent, unsigned int duplicate_percent);
    /// Delays one message in five by up to `max`.
    void set_max_extra_delay(duration max) { m_max_extra_delay = max; }
    void break_disk(std::size_t voter, fake_storage::fault fault);
    /// Sets the duration of each later write to the voter's disk.
    void set_sync_time(std::size_t voter, duration time) { m_hosts[voter]->sync_time = time; }
    void set_clock_rate(std::size_t host, double rate);
    void crash_target(std::size_t node);
    void start_target(std::size_t node);
    void freeze_target(std::size_t node);
    void thaw_target(std::size_t node);
    /// Removes the voter and its disk permanently; a spare takes its place.
    void replace_voter(std::size_t voter);

    /// Ends every fault and lets the cluster recover; then checks that every key is served and
    /// every accepted table is in force.
    void heal_and_check_progress();

    // ---- state for assertions ----
    const std::vector<std::string> &violations() const { return m_violations; }
    std::optional<std::size_t> leader() const;
    std::size_t hosts() const { return m_hosts.size(); }
    node_core &node(std::size_t host) { return *m_hosts[host]->node; }
    control_core &control(std::size_t host) { return m_hosts[host]->voting->core(); }
    bool has_control(std::size_t host) const { return m_hosts[host]->voting != nullptr; }
    std::optional<std::size_t> owner_of(unsigned int key) const;
    const std::optional<caller_response> &answer(std::size_t submission) const;
    std::size_t runs_of(std::size_t submission) const;
    std::uint64_t accepted_version() const {
        return m_accepted.empty() ? 0 : m_accepted.rbegin()->first;
    }
    std::size_t steps() const { return m_steps; }
    instant now() const { return m_now; }
    std::size_t answered(outcome result) const;
    std::size_t submissions() const { return m_submissions.size(); }
    double served_fraction() const;

private:
    static constexpr duration default_sync_time = std::chrono::milliseconds(1);

    struct target_state {
        bool up = true;
        bool frozen = false;
        std::uint64_t generation = 1;
        std::map<std::uint64_t, fencing_token> highest; ///< by hash of the key
    };
    struct host {
        node_address address;
        std::unique_ptr<fake_storage> disk;
        duration sync_time = default_sync_time;
        std::unique_ptr<durable_voter> voting;
        std::unique_ptr<node_core> node;
        target_state target;
        bool voter = false;
        bool alive = true;
        bool gone = false;
        bool paused = false;
        bool stopping = false;
        double rate = 1;
        std::int64_t clock_base = 0;
        instant rate_since{};
        std::uint64_t generation = 0;
        std::uint64_t table_seen = 0;
        std::map<std::uint64_t, std::size_t> tickets; ///< of the node, to submission numbers
        std::set<std::uint64_t> cancelled;
        std::map<std::uint64_t, std::pair<std::string, std::uint64_t>>
            changes;                                      ///< of the control plane
        std::map<std::uint64_t, std::size_t> evacuations; ///< tickets, to positions in `m_orders`
        std::vector<std::function<void()>> deferred;      ///< events held back until a pause ends
    };
    struct event {
        instant at{};
        std::uint64_t order = 0;
        std::size_t host = 0;
        std::uint64_t generation = 0; ///< the event is dropped if the host has restarted since
        std::function<void()> action;
        bool operator>(const event &other) const {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };
    struct submission {
        std::size_t node = 0;
        std::uint64_t node_generation = 0;
        std::string name; ///< unique; sent as the body
        std::string idempotency_key;
        unsigned int key = 0;
        request_kind kind = request_kind::read;
        std::string content; ///< body, if it differs from the name
        const std::string &body() const { return content.empty() ? name : content; }
        instant deadline{};
        std::optional<caller_response> answer;
    };
    struct run_record {
        std::string submission;
        std::string idempotency_key;
    };

    std::size_t submit(submission item, duration deadline);
    moment clock_of(const host &which) const;
    void start_processes(std::size_t index);
    void schedule(duration delay, std::size_t host, std::function<void()> action);
    void tick(std::size_t index);
    void announce(std::size_t index);
    void check_disk(std::size_t index);
    void start_disk_task(std::size_t index);
    void handle_disk_event(std::size_t index, durable_voter::disk_event news);
    void record_decision(const audit_record &record);
    void process_effects(std::size_t index);
    void send(std::size_t from, const outgoing &item);
    void deliver(std::size_t to, const node_address &from, const message &body);
    void start_call(std::size_t index, const target_call &call);
    void write_call(std::size_t index, const target_call &call);
    void run_at_target(std::size_t index, const target_call &call, std::uint64_t target_generation);
    void end_call(std::size_t index, std::uint64_t call, call_result result);
    void handle_answer(const caller_answer &answer, host &at);
    void check_answer(const submission &item);
    void check_owners();
    void check_leader(std::size_t index);
    void check_tables();
    void check_replicated_state();
    void check_unanswered();
    void check_final();
    void check_evacuations();
    void note_evacuation_answer(host &at, const submit_answer &answer);
    void report_violation(const std::string &what);
    std::size_t index_of(const node_address &address) const;
    std::string table_csv(double weight) const;
    std::string service_of(std::size_t node) const;

    options m_options;
    std::mt19937_64 m_random;
    std::mt19937_64
        m_disk_random; ///< separate, so that disk writes don't change other random choices
    instant m_now = instant(std::chrono::seconds(1000));
    std::uint64_t m_order = 0;
    std::size_t m_steps = 0;
    std::vector<event> m_events; ///< a heap
    std::vector<std::unique_ptr<host>> m_hosts;
    std::set<std::pair<std::size_t, std::size_t>> m_blocked_links;
    std::set<std::pair<std::size_t, std::size_t>> m_silent_links;
    duration m_max_extra_delay{};
    unsigned int m_drop_percent = 0;
    unsigned int m_duplicate_percent = 0;
    std::vector<submission> m_submissions;
    std::vector<instant> m_crashes;
    std::map<std::string, std::size_t> m_by_name;
    std::map<std::string, std::size_t> m_runs_by_submission;
    std::map<std::string, std::size_t> m_runs_by_key;
    std::map<std::uint64_t, std::string> m_accepted; ///< change id by table version
    std::map<std::uint64_t, instant> m_accepted_at;
    std::map<std::uint64_t, std::uint64_t> m_accepted_term;
    std::map<std::string, change_answer> m_change_answers;
    std::map<std::string, double> m_change_weights;
    struct evacuation_order {
        std::string domain;
        bool withdrawn = false;
        std::uint64_t acknowledged_at = 0; ///< log index; 0: not acknowledged
    };
    std::vector<evacuation_order> m_orders;       ///< in the order in which they were sent
    std::map<std::uint64_t, std::string> m_audit; ///< hash by sequence
    std::map<std::uint64_t, std::size_t> m_term_leaders;
    std::vector<std::string> m_violations;
};

} // namespace peppertack::testing
