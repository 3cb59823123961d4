#pragma once

#include "fault_proxy.hpp"
#include "peppertack/state/time.hpp"
#include "peppertack/transport/http/http_client_pool.hpp"
#include "peppertack/transport/http/http_server.hpp"
#include "stop_oracle.hpp"

#include <asio/io_context.hpp>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace peppertack::testing {

class platform_cluster;

/// Keys that a stand-in target holds, by the answer to a heartbeat.
struct stand_in_hold {
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    std::uint64_t token = 0;
    instant until{};
};

/// What a stand-in target does with the calls by which it is handed keys.
struct hold_call_faults {
    bool lose_answers = false;     ///< they are carried out and not answered
    duration late{};               ///< they are carried out so much later, and never answered
    bool crash_on_release = false; ///< the process ends when it is asked for keys back
    std::uint64_t seen_token = 0;  ///< grants below it are refused

    friend bool operator==(const hold_call_faults &, const hold_call_faults &) = default;
};

/// How many requests a stand-in target runs at a time and queues. It never answers one that it
/// can't queue, nor any later one on that connection.
struct target_capacity {
    std::size_t slots = std::numeric_limits<std::size_t>::max();
    std::size_t queue = std::numeric_limits<std::size_t>::max();
};

/// How a stand-in target sends an answer piece by piece.
struct answer_manner {
    enum class ending : std::uint8_t {
        whole,
        closed,      ///< it closes the connection in the middle of the answer
        reset,       ///< it resets the connection there
        process_ends ///< all of its connections close
    };
    ending end = ending::whole;
    double part = 1;              ///< of the content, sent before it breaks off
    bool chunked = false;         ///< else its length is told
    std::size_t piece = 64 << 10; ///< bytes at a time, a few milliseconds apart
};

/// The runs of a request at targets.
struct run_record {
    int count = 0;
    instant began{};    ///< first
    instant answered{}; ///< first
    // ---- of the last run ----
    std::size_t target = 0;
    std::string life;    ///< of that target
    bool whole = false;  ///< the target has handed over all of its answer
    bool broken = false; ///< the target broke its answer off, or ended while at work
    instant cut{};       ///< when the connection was closed on the target; none: it was not
};

/// Content of an answer to the path `long_path`: tells its request throughout, `length` bytes or as
/// many as it takes to tell it once.
std::string long_answer(const std::string &id, std::size_t length);
inline constexpr std::string_view long_path = "/a/long/"; ///< bytes of the answer follow
/// As `long_path`, for answers that have exactly so many bytes and may be too short to tell their
/// request.
inline constexpr std::string_view exact_path = "/a/exact/";
std::string exact_answer(const std::string &id, std::size_t length);

/// A target that speaks the platform's protocol: sends heartbeats, keeps the holds it is given,
/// runs requests and remembers which.
class stand_in_platform_target {
public:
    stand_in_platform_target(platform_cluster &cluster, std::size_t place);
    /// Starts under a name of its own.
    void start();
    /// Starts a new life under the name it had: it holds nothing and counts its calls anew. Its
    /// clock, by which `born` is told, may have been set by `clock_step` since.
    void start_again(duration clock_step = {});
    /// Takes requests for another service from the next start on.
    void set_service(const std::string &service) { m_service = service; }
    /// Falls silent; its address takes no connections.
    void crash();
    /// Stops to listen and goes on sending heartbeats. Yields the address, "IP:port", where another
    /// may listen in its place.
    std::string leave_address();
    void begin_drain() { m_draining = true; }
    /// Names a limit in all answers from now on, as it goes over the wire; empty: none.
    void name_limit(const std::string &per_second) { m_limit = per_second; }
    /// Becomes cold for so long under the incarnation that it has. It crashes as soon as it gets
    /// more requests in one second than the cluster's options allow.
    void become_cold(duration length);
    /// Most requests that came to this place within one second while it was cold.
    std::size_t most_while_cold() const { return m_most_while_cold; }
    /// Says in all answers of this life that it leaves, and in no heartbeat.
    void say_leaving() { m_leaving = true; }
    bool leaving() const { return m_leaving; }
    /// Requests of callers that have come to this place, in any life.
    std::uint64_t requests() const { return m_requests; }
    std::size_t place() const { return m_place; }
    bool up() const { return m_server != nullptr; }
    /// Runs that ended the process, ever; see `platform_cluster::send_crashing`.
    std::uint64_t crashes() const { return m_crashes; }
    const std::string &name() const { return m_name; }
    /// Name and start: no two lives share it.
    std::string life() const { return m_name + "/" + std::to_string(m_born); }
    /// What it would say of itself in a heartbeat now, as it goes over the wire.
    nlohmann::json heartbeat_body() const;
    const std::vector<stand_in_hold> &holds() const { return m_holds; }
    std::uint64_t heartbeats() const { return m_sequence; }
    /// How calls of holds go wrong from now on.
    void set_hold_call_faults(const hold_call_faults &faults) { m_faults = faults; }
    /// Calls to grant keys that came so far.
    std::uint64_t grants() const { return m_grants; }
    std::uint64_t releases() const { return m_releases; }
    /// In force for requests that come from now on, in this life and later ones.
    void set_capacity(target_capacity capacity);
    /// Requests that were left without an answer since they could not be queued.
    std::uint64_t left_unanswered() const { return m_left_unanswered; }

private:
    void come_up();
    bool cold() const;
    void note_arrival_while_cold();
    void beat();
    void take_answer(const std::string &body, instant sent);
    void take_request(const std::shared_ptr<http_exchange> &caller, const std::string &body);
    /// Runs a request, queues it, or never answers it.
    void admit(std::function<void()> run);
    void run(const std::shared_ptr<http_exchange> &caller, const std::string &body,
             std::vector<header_field> headers);
    void start_queued();
    struct sending;
    /// Sends a piece of an answer and comes back for the next.
    void send_piece(const std::shared_ptr<sending> &answer);
    void break_off(const sending &answer);
    bool holds_key(std::uint32_t key, instant now) const;
    std::string listening_address() const;
    void take_hold_call(const std::shared_ptr<http_exchange> &caller, const std::string &body);
    /// Status of a grant that is carried out now and counts from `arrived`.
    int apply_grant(const nlohmann::json &call, instant arrived);
    void apply_release(const nlohmann::json &call);
    void drop_part(std::uint32_t from, std::uint32_t to);

    platform_cluster &m_cluster;
    std::size_t m_place;
    std::string m_name;
    std::string m_service;
    std::int64_t m_born = 0; ///< wall clock at the start, in milliseconds
    std::uint64_t m_sequence = 0;
    bool m_draining = false;
    std::unique_ptr<http_server> m_server;
    std::vector<stand_in_hold> m_holds;
    nlohmann::json m_freed = nlohmann::json::array();
    hold_call_faults m_faults;
    std::string m_limit;
    bool m_leaving = false;
    instant m_cold_until{};
    std::deque<instant> m_cold_arrivals; ///< in the last second
    std::size_t m_most_while_cold = 0;
    std::uint64_t m_requests = 0;
    std::uint64_t m_crashes = 0;
    bool m_unreachable = false; ///< its address takes no connections
    std::uint64_t m_grants = 0;
    std::uint64_t m_releases = 0;
    target_capacity m_capacity;
    std::size_t m_running = 0;
    std::deque<std::function<void()>> m_queue; ///< runs that wait for a slot
    std::uint64_t m_left_unanswered = 0;
    std::set<std::string> m_at_work; ///< requests that are not answered whole
    std::shared_ptr<bool> m_life;
};

/// What a process uses; zeros if it has ended.
struct process_usage {
    pid_t process = -1;
    std::uint64_t memory = 0; ///< resident, bytes
    std::uint64_t peak = 0;   ///< most that was ever resident, bytes
    std::size_t descriptors = 0;
};

/// One request of a caller and what became of it.
struct caller_attempt {
    std::string id;
    std::size_t node = 0; ///< place of the one that takes it
    bool once = false;
    int status = 0; ///< 0: no answer yet; -1: the connection ended without one
    std::string body;
    std::string path;        ///< decides how long the answer is
    bool unsent = false;     ///< no connection could be made, so that nothing was sent
    std::string retry_after; ///< as the answer says
    /// The request before it on its connection, if it was sent before that one was answered.
    std::shared_ptr<caller_attempt> previous;
    bool promised() const {
        return status == 503 || status == 429 || status == 421 || status == 408;
    }
};

/// A call of the operator.
struct operator_call {
    std::string method = "GET";
    std::string path = "/peppertack/config";
    std::string body;
    bool fresh = false; ///< on a connection of its own
};

/// Voters and nodes as real processes of `peppertack_platform`, each on an address of its own on
/// loopback, with stand-in targets, callers and an oracle in this process. Ends what it started.
class platform_cluster {
public:
    struct options {
        std::string programs; ///< folder of peppertack_platform
        std::size_t voters = 3;
        std::uint32_t losses = 1;
        std::vector<std::string> services{"keyed", "keyed", "keyed", "plain",
                                          "plain"}; ///< a node each
        double heartbeat_s = 0.2;
        duration work = std::chrono::milliseconds(5);
        std::uint32_t slots = 8;              ///< that targets tell
        target_capacity capacity;             ///< that targets have at first
        double link_mbps = 8;                 ///< as told to the processes
        double memory_mb = 256;               ///< as told to the processes
        std::uint32_t max_descriptors = 4096; ///< as told to the processes, and enforced
        std::uint64_t max_body = 1'000'000;   ///< bytes, by the configuration
        double cold_per_s = 0;            ///< requests that a cold target tolerates; 0: any number
        duration cold_start{};            ///< targets are cold for so long after their start
        double cold_over = 1.5;           ///< factor on `cold_per_s` that bounds any second
        double cold_slack = 4;            ///< and so many more
        std::string grants = "heartbeat"; ///< how the keyed service's targets are handed keys
        std::uint64_t seed = 1;
        std::chrono::milliseconds deadline{1500}; ///< that callers tell
        std::chrono::seconds timeout{2};          ///< of all routes
        /// How long a run at a target takes; empty: `work`.
        std::function<duration(std::size_t target)> work_at;
        /// How a target sends the answer to a request; empty: whole and at once.
        std::function<answer_manner(std::size_t target)> answer_manner_at;
        bool downloads = false; ///< with routes of type `download`, for hosts "SERVICE-download"
        /// No proxies: connections to a process that has ended are refused, as in a real network.
        bool direct = false;
        std::vector<std::string> environment; ///< of the processes: NAME=text
    };

    explicit platform_cluster(options settings);
    ~platform_cluster();
    platform_cluster(const platform_cluster &) = delete;
    platform_cluster &operator=(const platform_cluster &) = delete;

    /// Runs the loop until a condition holds; false if it does not within `patience`.
    bool run_until(const std::function<bool()> &condition,
                   duration patience = std::chrono::seconds(20));
    void run_for(duration time);
    /// Loop on which all of this runs.
    asio::io_context &io() { return m_io; }
    /// By the clock of `run_of`.
    static instant now();

    void start_voter(std::size_t place, bool first = false);
    void start_node(std::size_t place);
    void signal_voter(std::size_t place, int number) { signal(m_voters[place], number); }
    void signal_node(std::size_t place, int number) { signal(m_nodes[place], number); }
    /// Kills a process and waits for its end.
    void end_voter(std::size_t place) {
        run_beside([&] { end(m_voters[place]); });
    }
    void end_node(std::size_t place) {
        run_beside([&] { end(m_nodes[place]); });
    }
    void wipe_voter(std::size_t place);
    /// Kills a voter and leaves on its disk what a loss of power would, drawn by `seed`.
    /// Precondition: liblossy_disk.so is preloaded into it.
    void cut_voter_power(std::size_t place, std::uint64_t seed);
    /// Data folder of a voter.
    std::string voter_folder(std::size_t place) const;
    bool node_ended(std::size_t place) { return ended(m_nodes[place]); }
    bool voter_ended(std::size_t place) { return ended(m_voters[place]); }
    /// Resident memory (VmRSS) of a node's process in bytes; 0 if it has ended.
    std::uint64_t node_memory(std::size_t place) const;
    process_usage node_usage(std::size_t place) const { return usage_of(m_nodes[place]); }
    process_usage voter_usage(std::size_t place) const { return usage_of(m_voters[place]); }
    /// Whether a node's process was stopped by a signal and not told to go on.
    bool node_paused(std::size_t place) const;
    /// Tells a node for the first time to stop.
    void stop_node(std::size_t place);
    stop_oracle &stops() { return m_stops; }

    /// Lines with this event that a voter has logged so far.
    std::size_t voter_log_lines(std::size_t place, const std::string &event) const;

    /// Puts a configuration whose version is `version` into force; true once it was acknowledged.
    bool configure(std::uint64_t version, std::uint64_t base);
    /// What `configure` sends.
    std::string configuration(std::uint64_t version, std::uint64_t base) const;
    /// The word for how keys are handed over that the next configuration has.
    void set_grants(const std::string &word) { m_options.grants = word; }
    /// Status and body of an operator's call, following redirections over the voters.
    std::pair<int, std::string> operate(const std::string &method, const std::string &body,
                                        const std::string &path = "/peppertack/config");
    /// Sends an operator's call to one voter and follows no redirection.
    std::shared_ptr<caller_attempt> ask_voter(std::size_t voter, const operator_call &what = {});
    /// Where a voter takes calls of the operator.
    std::string operator_address(std::size_t voter) const;
    /// Sends one request to a node; the attempt is filled in as the loop runs.
    /// `body`: bytes that a request that may run once carries.
    std::shared_ptr<caller_attempt> send(std::size_t node, bool keyed, bool once, std::uint32_t key,
                                         const std::string &body = "body");
    /// Sends a request without a body that may run more than once, on a connection of its own.
    std::shared_ptr<caller_attempt> send_alone(std::size_t node, bool keyed, std::uint32_t key);
    /// Sends an idempotent request whose answer has so many bytes.
    std::shared_ptr<caller_attempt> read(std::size_t node, bool keyed, std::uint32_t key,
                                         std::size_t length);
    /// Deadline that callers tell from now on; the route's time-out stays.
    void set_deadline(std::chrono::milliseconds deadline) { m_options.deadline = deadline; }
    /// Version of the configuration that a voter reads back; none if none does in time.
    std::optional<std::uint64_t> read_version();
    /// Sends a request that may run once, with a body of so many bytes, on a connection of its own.
    std::shared_ptr<caller_attempt> upload(std::size_t node, std::size_t size);
    /// Notes a request that is sent by other means, so that its runs are watched and
    /// `check_requests` judges the answer that is filled in. `body`: as it is sent.
    std::shared_ptr<caller_attempt> expect(std::size_t node, bool once, const std::string &body);
    /// Head of the request of an attempt, without the framing of its body.
    http_head request_head(const caller_attempt &attempt, const std::string &path, bool keyed,
                           std::uint32_t key) const;
    /// Sends a request that ends each target that runs it. The content is the same each time.
    std::shared_ptr<caller_attempt> send_crashing(std::size_t node, bool keyed, bool once,
                                                  std::uint32_t key);
    /// Sends a request at which the target works for so long.
    std::shared_ptr<caller_attempt> send_working(std::size_t node, bool keyed, bool once,
                                                 std::uint32_t key, std::chrono::milliseconds work);
    /// Asks a node for a path that no route of `configure` takes, unless `host` is one of theirs.
    /// `length`: bytes of a body that is announced and not sent.
    std::shared_ptr<caller_attempt> ask(std::size_t node, const std::string &host,
                                        std::uint64_t length = 0);
    /// Sends a node what its target might: status and body of the answer.
    std::pair<int, std::string> tell(std::size_t node, const std::string &method,
                                     const std::string &name, const std::string &body);
    /// Where a node takes requests.
    std::string caller_address(std::size_t node) const {
        return node_ip(node) + ":" + std::to_string(m_ports.at("callers"));
    }
    /// Sends requests until one of each kind was answered 200.
    bool serves();

    /// What other nodes send to a node, and what that node sends to its target, pass here.
    fault_proxy &node_links(std::size_t place) { return *m_node_links[place]; }
    fault_proxy &target_links(std::size_t place) { return *m_target_links[place]; }
    stand_in_platform_target &target(std::size_t place) { return *m_targets[place]; }
    std::size_t nodes() const { return m_options.services.size(); }
    /// Logs and disks stay when this goes, which then tells where. They also do if the running test
    /// case has failed.
    void keep_folder() { m_keep = true; }
    /// Last answers that `serves` got, for people.
    const std::string &last_answers() const { return m_last_answers; }
    const std::vector<std::string> &violations() const { return m_violations; }
    /// Whether a target has begun to run the request.
    bool has_run(const std::string &id) const { return m_runs.count(id) != 0; }
    /// Zeros if it has not run.
    run_record run_of(const std::string &id) const {
        const auto found = m_runs.find(id);
        return found == m_runs.end() ? run_record{} : found->second;
    }
    /// Whether a life of a target had ended by then.
    bool life_over(const std::string &life, instant at) const {
        const auto found = m_ended_lives.find(life);
        return found != m_ended_lives.end() && found->second <= at;
    }
    /// Requests whose connection was closed while a target was at work on them.
    const std::vector<std::string> &cut_runs() const { return m_cut_runs; }
    /// Checks what became of all requests sent so far.
    void check_requests();

private:
    friend class stand_in_platform_target;

    std::shared_ptr<caller_attempt> send_to_path(const std::string &path, std::size_t node,
                                                 bool keyed, bool once, std::uint32_t key,
                                                 const std::string &body, bool fresh = false);
    std::string control_address(std::size_t node) const;
    std::string voter_ip(std::size_t place) const;
    std::string node_ip(std::size_t place) const;
    /// Where a node and its target really listen, behind the proxies.
    std::string behind_ip(std::size_t place) const;
    std::string settings_text(const std::string &ip, const std::string &behind,
                              const std::string &zone, const std::string &service,
                              const std::string &data, bool first) const;
    pid_t spawn(const std::string &role, const std::string &name, const std::string &settings);
    /// Does work that may wait for a disk on a thread of its own and goes on with the loop until it
    /// is done: targets that stand still count grants of keys from when they read them, and hold
    /// keys longer than they were told.
    void run_beside(const std::function<void()> &work);
    void signal(pid_t process, int number) const;
    /// A field of /proc/PID/status; empty if the process has ended or the field is missing.
    static std::string status_of(pid_t process, const std::string &field);
    static std::uint64_t status_bytes(pid_t process, const std::string &field);
    static process_usage usage_of(pid_t process);
    static void end(pid_t &process);
    static bool ended(pid_t &process);
    void note_hold(const stand_in_platform_target &holder, const stand_in_hold &hold);
    void note_run(const std::string &id, const std::string &body,
                  const stand_in_platform_target &target);
    void note_whole(const std::string &id, std::size_t target);
    void note_broken(const std::string &id, std::size_t target);
    void note_cut(const std::string &id, std::size_t target);
    void note_answered(const std::string &id);
    void check_turns(const caller_attempt &attempt);
    void violate(const std::string &what) { m_violations.push_back(what); }

    options m_options;
    asio::io_context m_io;
    std::string m_folder;
    std::map<std::string, int> m_ports;
    http_client_pool m_pool;
    std::vector<std::unique_ptr<fault_proxy>> m_node_links;
    std::vector<std::unique_ptr<fault_proxy>> m_target_links;
    std::vector<pid_t> m_voters;
    std::vector<pid_t> m_nodes;
    std::vector<std::unique_ptr<stand_in_platform_target>> m_targets;
    std::vector<std::shared_ptr<caller_attempt>> m_attempts;
    std::map<std::string, run_record> m_runs;
    std::vector<std::string> m_cut_runs;
    std::map<std::string, instant> m_ended_lives;
    std::map<std::string, std::string> m_bodies; ///< by request, as sent
    std::map<std::uint32_t, std::pair<std::uint64_t, std::string>>
        m_tokens; ///< by key: highest, who
    stop_oracle m_stops;
    std::string m_last_answers;
    bool m_keep = false;
    std::uint64_t m_next_id = 0;
    std::uint64_t m_lives = 0;
    std::vector<std::string> m_violations;
};

} // namespace peppertack::testing
