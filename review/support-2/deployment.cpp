#include "deployment.hpp"

#include "peppertack/transport/http/whole_request.hpp"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iomanip>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

using peppertack::body_framing;
using peppertack::header_field;
using peppertack::http_head;

constexpr std::uint32_t last_key = 65535;
constexpr std::uint32_t sample_distance = 512;
constexpr ms heartbeat_patience(1000); ///< a later answer acknowledges nothing
constexpr ms retry_pause(100);
/// A server that leaves serves on for `drain_s` after the acknowledgement and a little longer.
constexpr ms serves_on(4000);
/// Path of a large answer; its size follows. It goes out at 9 Mbit/s.
constexpr std::string_view large_path = "/a/large/";
constexpr std::size_t piece_size = 11000;
constexpr ms piece_pause(10);
/// Overlaps shorter than this may be a late timer of this process.
constexpr ms timer_slack(100);

std::string text_of(steady::duration time) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(3) << std::chrono::duration<double>(time).count();
    return out.str();
}

bool port_is_free(const std::string &ip, int port) {
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io);
    asio::error_code error;
    const asio::ip::tcp::endpoint place(asio::ip::make_address(ip),
                                        static_cast<unsigned short>(port));
    acceptor.open(place.protocol(), error);
    acceptor.bind(place, error);
    return !error;
}

/// Collects an answer and tells its end once.
class answer_reader final : public peppertack::http_response_handler {
public:
    using function = std::function<void(int, const std::string &)>;

    explicit answer_reader(function done) : m_done(std::move(done)) {}
    void on_response_head(http_head head) override { m_head = std::move(head); }
    void on_response_body(std::string_view piece) override { m_body.append(piece); }
    void on_response_end() override { tell(m_head.status); }
    void on_call_failed(peppertack::call_failure, const std::string &) override { tell(-1); }
    void give_up() {
        if (m_call) {
            m_call->cancel();
        }
        tell(-1);
    }
    void keep(std::shared_ptr<peppertack::http_call> call) { m_call = std::move(call); }
    const http_head &head() const { return m_head; }

private:
    void tell(int status) {
        if (const function done = std::exchange(m_done, nullptr)) {
            done(status, m_body);
        }
    }

    function m_done;
    http_head m_head;
    std::string m_body;
    std::shared_ptr<peppertack::http_call> m_call;
};

} // namespace

// ---- a request at a server ----

/// Runs once it is whole; is dropped when its connection closes.
class server::request final : public peppertack::http_request_handler {
public:
    request(server &at, std::shared_ptr<peppertack::http_exchange> caller)
        : m_at(at), m_caller(std::move(caller)) {}
    void on_request_end() override {
        const auto caller = m_caller;
        m_at.take(caller);
    }
    void on_caller_gone() override {
        const std::string *id = m_caller->request().find("X-Request-Id");
        if (id != nullptr && m_at.m_running.erase(*id) != 0) {
            m_at.m_owner.note(m_at.m_id + " drops " + *id + ", whose connection was closed");
        }
    }

private:
    server &m_at;
    std::shared_ptr<peppertack::http_exchange> m_caller;
};

// ---- servers ----

/// A large answer that goes out piece by piece.
struct server::stream {
    std::shared_ptr<peppertack::http_exchange> caller;
    std::string id;
    std::size_t left = 0;
    const peppertack::http_server *http = nullptr; ///< of the life that answers
    std::shared_ptr<asio::steady_timer> timer;
};

server::server(deployment &owner, std::size_t place)
    : m_owner(owner), m_place(place), m_service(owner.settings().services[place]),
      m_beat_timer(owner.io()) {}

void server::start() {
    m_id = "i-" + std::to_string(m_place) + "-" + std::to_string(++m_lives);
    m_sequence = 0;
    m_leaving = false;
    m_freed = nlohmann::json::array();
    m_http = std::make_unique<peppertack::http_server>(
        m_owner.io(),
        peppertack::http_server::options{.address = m_owner.node_address(m_place, "server")},
        [this](const auto &caller) { return std::make_shared<request>(*this, caller); });
    std::string reason;
    if (!m_http->start(reason)) {
        m_owner.note("a server can't listen: " + reason);
    }
    beat();
}

std::vector<held_row> server::holds() const {
    std::vector<held_row> rows = m_holds;
    const auto now = steady::now();
    std::erase_if(rows, [now](const held_row &row) { return row.until <= now; });
    return rows;
}

bool server::holds_key(std::uint32_t key) const {
    const std::vector<held_row> rows = holds();
    return std::any_of(rows.begin(), rows.end(),
                       [key](const held_row &row) { return row.from <= key && key <= row.to; });
}

bool server::at_work_on(std::uint32_t from, std::uint32_t to) const {
    return std::any_of(m_running.begin(), m_running.end(), [&](const auto &item) {
        return item.second.keyed && from <= item.second.key && item.second.key <= to;
    });
}

nlohmann::json server::heartbeat() const {
    nlohmann::json rows = nlohmann::json::array();
    for (const held_row &row : holds()) {
        rows.push_back({row.from, row.to, row.fence});
    }
    return {{"address", m_owner.node_address(m_place, "server")},
            {"info",
             {{"service", m_service},
              {"version", "v1"},
              {"zone", "z" + std::to_string(m_place % 3)},
              {"slots", m_owner.settings().slots}}},
            {"status", {{"state", "ready"}, {"sequence", m_sequence}, {"cold_remaining_s", 0}}},
            {"holds", rows},
            {"freed", m_freed}};
}

void server::beat_in(ms pause) {
    m_beat_timer.expires_after(pause);
    m_beat_timer.async_wait([this](asio::error_code error) {
        if (!error && !m_leaving) {
            beat();
        }
    });
}

void server::beat() {
    ++m_sequence;
    const auto sent = steady::now();
    m_owner.tell_node(m_place, "PUT", m_id, heartbeat().dump(),
                      [this, sent](int status, const std::string &body) {
                          if (m_leaving) {
                              return;
                          }
                          if (status / 100 != 2) {
                              beat_in(retry_pause); // the only node that takes its heartbeats
                              return;
                          }
                          ++m_acknowledged;
                          m_acknowledged_at = steady::now();
                          take_grant(body, sent);
                          const auto usual =
                              ms(static_cast<int>(m_owner.settings().heartbeat_s * 1000));
                          beat_in(m_freed.empty() ? usual : retry_pause);
                      });
}

void server::take_grant(const std::string &body, steady::time_point sent) {
    const std::vector<held_row> before = holds();
    m_freed = nlohmann::json::array();
    const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("holds")) {
        return; // renews nothing
    }
    const auto until = sent + std::chrono::duration_cast<steady::duration>(
                                  std::chrono::duration<double>(answer.at("hold_s").get<double>()));
    std::vector<held_row> next;
    for (const nlohmann::json &row : answer.at("holds")) {
        next.push_back({row.at(0), row.at(1), row.at(2), until});
    }
    for (const held_row &old : before) {
        const bool kept = std::any_of(next.begin(), next.end(), [&](const held_row &row) {
            return row.from <= old.from && old.to <= row.to;
        });
        if (kept) {
            continue;
        }
        if (at_work_on(old.from, old.to)) {
            next.push_back(old); // released once the work has ended
        } else {
            m_freed.push_back({old.from, old.to, "h" + std::to_string(old.fence)});
        }
    }
    m_holds = std::move(next);
    for (const held_row &row : holds()) {
        m_owner.judge_take(*this, row);
    }
}

void server::leave() {
    m_leaving = true;
    m_beat_timer.cancel();
    m_owner.note(m_id + " says that it leaves (DELETE)");
    send_delete();
}

void server::send_delete() {
    m_owner.tell_node(m_place, "DELETE", m_id, "", [this](int status, const std::string &) {
        if (status / 100 != 2) {
            send_delete();
            return;
        }
        m_leave_acknowledged = true;
        m_owner.note(m_id + " is told that its leaving is acknowledged");
        const auto timer = std::make_shared<asio::steady_timer>(m_owner.io(), serves_on);
        timer->async_wait([this, timer](asio::error_code) {
            m_owner.note(m_id + " ends");
            m_holds.clear();
            m_http.reset();
        });
    });
}

void server::take(const std::shared_ptr<peppertack::http_exchange> &caller) {
    const http_head &head = caller->request();
    const std::string *id = head.find("X-Request-Id");
    const std::string *expected = head.find("X-Expected-Instance");
    const std::string *key = head.find("X-Shard-Key");
    std::vector<header_field> headers{{"X-Instance-Id", m_id}};
    if (id == nullptr) { // a health check
        caller->respond(m_leaving ? 503 : 200, headers, {});
        return;
    }
    headers.push_back({"X-Request-Id", *id});
    const auto number = key == nullptr ? 0U : static_cast<std::uint32_t>(std::stoul(*key));
    const bool wrong = expected != nullptr && *expected != m_id;
    if (wrong || (key != nullptr && !holds_key(number))) {
        m_owner.note(m_id + " answers 421 to " + *id + " and doesn't run it");
        headers.push_back({"X-Not-Executed", "1"});
        caller->respond(421, headers, {});
        return;
    }
    m_begun.insert(*id);
    m_owner.note(m_id + " runs " + *id +
                 (key == nullptr ? std::string() : " for key " + std::to_string(number)));
    m_running[*id] = {.key = number, .keyed = key != nullptr};
    const std::string &target = head.target;
    if (target.rfind(large_path, 0) == 0) {
        headers.push_back({"X-Response-Signature", m_id + "." + *id});
        const std::size_t size = std::stoul(target.substr(large_path.size()));
        const auto answer = std::make_shared<stream>(
            stream{.caller = caller,
                   .id = *id,
                   .left = size,
                   .http = m_http.get(),
                   .timer = std::make_shared<asio::steady_timer>(m_owner.io())});
        http_head out;
        out.status = 200;
        out.headers = headers;
        out.framing = body_framing::length;
        out.content_length = size;
        ++m_streams;
        caller->send_head(out);
        send_piece(answer);
        return;
    }
    const auto work = ms(std::stol(target.substr(target.rfind('/') + 1)));
    auto timer = std::make_shared<asio::steady_timer>(m_owner.io(), work);
    timer->async_wait([this, timer, caller, headers, id = *id](asio::error_code) {
        if (m_running.count(id) != 0) {
            finish(caller, id, headers);
        }
    });
}

void server::send_piece(const std::shared_ptr<stream> &answer) {
    if (m_http.get() != answer->http) {
        return; // has crashed
    }
    if (answer->caller->closed() || m_running.count(answer->id) == 0) {
        --m_streams;
        return;
    }
    if (!answer->caller->backlogged(piece_size * 4)) {
        const std::size_t size = std::min(answer->left, piece_size);
        answer->caller->send_body(std::string(size, 'x'));
        answer->left -= size;
    }
    if (answer->left == 0) {
        --m_streams;
        m_running.erase(answer->id);
        m_owner.note(m_id + " has run " + answer->id);
        answer->caller->finish();
        return;
    }
    answer->timer->expires_after(piece_pause);
    answer->timer->async_wait([this, answer](asio::error_code) { send_piece(answer); });
}

void server::crash() {
    m_owner.note(m_id + " crashes");
    m_beat_timer.cancel();
    m_leaving = true; // sends no more heartbeats
    m_http.reset();
    m_holds.clear();
    m_running.clear();
    m_streams = 0;
}

void server::finish(const std::shared_ptr<peppertack::http_exchange> &caller, const std::string &id,
                    std::vector<header_field> headers) {
    const run ended = m_running.at(id);
    m_running.erase(id);
    const bool good = !ended.keyed || holds_key(ended.key); // work that outlasts its lease fails
    m_owner.note(m_id + " has run " + id + (good ? "" : ", which outlasted its lease"));
    headers.push_back({"X-Response-Signature", m_id + "." + id});
    caller->respond(good ? 200 : 500, headers, "ran " + id);
}

// ---- the deployment ----

deployment::deployment(options settings)
    : m_options(std::move(settings)), m_record(m_options.record),
      m_pool(m_io, {.id_header = "X-Request-Id"}) {
    std::mt19937 random(std::random_device{}());
    m_network = 20 + static_cast<int>(random() % 200);
    const std::string probe = "127." + std::to_string(m_network) + ".2.1";
    int port = 20000 + static_cast<int>(random() % 8000);
    for (const char *use : {"server", "control", "ready", "callers", "nodes", "peer", "metrics"}) {
        while (!port_is_free(probe, port)) {
            ++port;
        }
        m_ports[use] = port++;
    }
    m_voters.assign(m_options.voters, -1);
    m_nodes.assign(machines(), -1);
    for (std::size_t i = 0; i < machines(); ++i) {
        m_servers.push_back(std::make_unique<server>(*this, i));
    }
}

deployment::~deployment() {
    for (auto *list : {&m_nodes, &m_voters}) {
        for (const pid_t process : *list) {
            if (process > 0) {
                ::kill(process, SIGKILL);
                ::waitpid(process, nullptr, 0);
            }
        }
    }
}

void deployment::note(const std::string &line) {
    m_record << text_of(steady::now() - m_begun) << "  " << line << std::endl;
}

void deployment::violate(const std::string &what) {
    m_violations.push_back(what);
    note("RULE BROKEN: " + what);
}

bool deployment::run_until(const std::function<bool()> &condition, ms patience) {
    const auto limit = steady::now() + patience;
    while (!condition()) {
        if (steady::now() >= limit) {
            return false;
        }
        m_io.restart();
        m_io.run_one_for(ms(5));
    }
    return true;
}

void deployment::run_for(ms time) {
    run_until([] { return false; }, time);
}

std::string deployment::voter_address(std::size_t place, const char *use) const {
    return "127." + std::to_string(m_network) + ".1." + std::to_string(place + 1) + ":" +
           std::to_string(m_ports.at(use));
}

std::string deployment::node_address(std::size_t place, const char *use) const {
    return "127." + std::to_string(m_network) + ".2." + std::to_string(place + 1) + ":" +
           std::to_string(m_ports.at(use));
}

/// What `platform/settings.template` makes of the fields of DEPLOY.md.
std::string deployment::settings_text(const std::string &ip, std::size_t zone,
                                      const std::string &service, const std::string &data,
                                      bool first) const {
    const auto at = [&](const char *use) { return ip + ":" + std::to_string(m_ports.at(use)); };
    std::string seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, m_options.voters); ++i) {
        seeds += (i == 0 ? "" : ",") + voter_address(i, "control");
    }
    const bool beside = !service.empty();
    std::ostringstream out;
    out << "peer-address = " << at("peer") << "\nmetrics-address = " << at("metrics")
        << "\nfailure-domain = z" << zone << "\nfailure-domains = "
        << R"({"z0":"r","z1":"r","z2":"r"})"
        << "\nservice = " << service << "\ntarget-address = " << (beside ? at("server") : "")
        << "\ncaller-address = " << (beside ? at("callers") : "")
        << "\nnode-address = " << (beside ? at("nodes") : "")
        << "\nready-address = " << (beside ? at("ready") : "")
        << "\ncontrol-address = " << at("control") << "\nseeds = " << seeds
        << "\ndata-folder = " << data << "\nfounding = " << (first ? "true" : "false")
        << "\nlosses = " << m_options.losses
        << "\nretry-ratio = 0.2\nretry-slack = 60\ncold-over = \ncold-slack = \nevacuate-s = "
        << "\nlink-mbps = 1000\nheartbeat-interval-s = " << m_options.heartbeat_s
        << "\nmost-hold-s = 10\ngrace-s = 6\ngrants = heartbeat\n";
    return out.str();
}

pid_t deployment::spawn(const std::string &role, const std::string &name,
                        const std::string &text) const {
    const std::string path = m_options.folder + "/" + name + ".conf";
    std::ofstream(path) << text;
    const std::string log = m_options.folder + "/" + name + ".log";
    const std::string boot = "PEPPERTACK_BOOT=" + path;
    const pid_t process = ::fork();
    if (process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this process, however that ends
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        const char *words[] = {m_options.program.c_str(), role.c_str(), nullptr};
        const char *environment[] = {boot.c_str(), nullptr};
        ::execve(words[0], const_cast<char **>(words), const_cast<char **>(environment));
        ::_exit(127);
    }
    return process;
}

void deployment::start_node(std::size_t place) {
    const std::string address = node_address(place, "control");
    m_nodes[place] = spawn("beside-target", "node-" + std::to_string(place),
                           settings_text(address.substr(0, address.rfind(':')), place % 3,
                                         m_options.services[place], "", false));
    note("the process of machine " + std::to_string(place) + " is started");
}

void deployment::signal_node(std::size_t place, int number) {
    note("signal " + std::to_string(number) + " to the process of machine " +
         std::to_string(place));
    ::kill(m_nodes[place], number);
}

bool deployment::node_ended(std::size_t place) {
    if (m_nodes[place] > 0 && ::waitpid(m_nodes[place], nullptr, WNOHANG) == m_nodes[place]) {
        m_nodes[place] = -1;
        note("the process of machine " + std::to_string(place) + " has ended");
    }
    return m_nodes[place] <= 0;
}

void deployment::call(const std::string &address, http_head head, const std::string &body,
                      ms patience, std::function<void(int, const std::string &)> done) {
    if (!body.empty()) {
        head.framing = body_framing::length;
        head.content_length = body.size();
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_io, patience);
    const auto kept = std::make_shared<std::shared_ptr<answer_reader>>();
    *kept = std::make_shared<answer_reader>(
        [this, kept, timer, done = std::move(done)](int status, const std::string &text) {
            timer->cancel();
            done(status, text);
            asio::post(m_io, [kept] { kept->reset(); });
        });
    const auto open = m_pool.start(address, head, *kept, true);
    (*kept)->keep(open);
    open->send_body(body);
    open->request_done();
    timer->async_wait([kept](asio::error_code error) {
        const auto reader = *kept;
        if (!error && reader) {
            reader->give_up();
        }
    });
}

std::pair<int, std::string> deployment::ask(const std::string &address, http_head head,
                                            const std::string &body, ms patience) {
    const auto result = std::make_shared<std::pair<int, std::string>>(0, "");
    call(address, std::move(head), body, patience, [result](int status, const std::string &text) {
        *result = {status, text};
    });
    run_until([&] { return result->first != 0; }, patience + ms(200));
    return *result;
}

bool deployment::node_ready(std::size_t place) {
    http_head head;
    head.method = "GET";
    head.target = "/peppertack/readyz";
    head.headers = {{"Host", "node"}};
    return ask(node_address(place, "ready"), head, "", ms(300)).first == 200;
}

void deployment::tell_node(std::size_t place, const std::string &method, const std::string &id,
                           const std::string &body,
                           std::function<void(int, const std::string &)> done) {
    http_head head;
    head.method = method;
    head.target = "/peppertack/instances/" + id;
    head.headers = {{"Host", "node"}, {"Content-Type", "application/json"}};
    call(node_address(place, "control"), head, body, heartbeat_patience, std::move(done));
}

bool deployment::configure() {
    nlohmann::json config{{"version", "00000001"},
                          {"base_version", "00000000"},
                          {"limits",
                           {{"max_header_bytes", 16384},
                            {"max_body_bytes", 67108864},
                            {"header_timeout_s", 3},
                            {"idle_timeout_s", 15}}}};
    for (const std::string &service : m_options.services) {
        for (const char *type : {"safe", "unsafe", "download"}) {
            config["routes"][service + "-" + type] = {{"host", service + "-" + type},
                                                      {"path_prefix", "/a/"},
                                                      {"type", type},
                                                      {"timeout_s", m_options.timeout_s},
                                                      {"target_latency_s", 1},
                                                      {"priority", 1},
                                                      {"service", service},
                                                      {"max_attempts", 2}};
        }
        config["services"][service] = {{"health_path", "/healthz"},
                                       {"max_connections", 120},
                                       {"protocol", "h1"},
                                       {"tls", false}};
        if (service == "keyed") {
            config["services"][service]["sharded"] = true;
            config["services"][service]["warm_s"] = 5.0;
            config["services"][service]["grants"] = "heartbeat";
        }
    }
    const std::string body = config.dump();
    return run_until(
        [&] {
            for (std::size_t i = 0; i < m_options.voters; ++i) {
                http_head head;
                head.method = "PUT";
                head.target = "/peppertack/config";
                head.headers = {{"Host", "voter"}, {"Content-Type", "application/json"}};
                if (ask(voter_address(i, "control"), head, body, ms(1000)).first == 200) {
                    return true;
                }
            }
            run_for(ms(100));
            return false;
        },
        ms(15000));
}

bool deployment::all_keys_held() const {
    std::uint32_t sum = 0;
    bool any = false;
    for (const auto &item : m_servers) {
        any = any || item->service() == "keyed";
        for (const held_row &row : item->holds()) {
            sum += row.to - row.from + 1;
        }
    }
    return !any || sum == last_key + 1;
}

bool deployment::bring_up() {
    for (std::size_t i = 0; i < m_options.voters; ++i) {
        const std::string address = voter_address(i, "control");
        m_voters[i] = spawn("voter", "voter-" + std::to_string(i),
                            settings_text(address.substr(0, address.rfind(':')), i % 3, "",
                                          m_options.folder + "/voter-" + std::to_string(i), true));
    }
    for (std::size_t i = 0; i < machines(); ++i) {
        start_node(i);
        m_servers[i]->start();
    }
    if (!configure()) {
        note("no configuration was acknowledged");
        return false;
    }
    note("the configuration is acknowledged");
    if (!run_until([&] { return all_keys_held(); }, ms(20000))) {
        note("not all keys are held");
        return false;
    }
    note("all keys are held");
    return run_until(
        [&] {
            const auto sent = send(0, m_options.services.front(), true, 1, ms(1), ms(1000));
            return run_until([&] { return sent->status != 0; }, ms(2000)) && sent->status == 200;
        },
        ms(10000));
}

std::pair<std::string, std::string> deployment::request_bytes(const std::string &service,
                                                              const std::string &type,
                                                              const std::string &path,
                                                              ms deadline) {
    std::string id = "r" + std::to_string(++m_last_id);
    const std::string bytes = "GET " + path + " HTTP/1.1\r\nHost: " + service + "-" + type +
                              "\r\nX-Request-Id: " + id +
                              "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n\r\n";
    return {bytes, id};
}

std::shared_ptr<client_request> deployment::send(std::size_t place, const std::string &service,
                                                 bool safe, std::uint32_t key, ms work,
                                                 ms deadline) {
    auto request = std::make_shared<client_request>();
    request->id = "r" + std::to_string(++m_last_id);
    http_head head;
    head.method = safe ? "GET" : "POST";
    head.target = "/a/" + std::to_string(work.count());
    head.headers = {{"Host", service + (safe ? "-safe" : "-unsafe")},
                    {"X-Request-Id", request->id},
                    {"X-Deadline-Ms", std::to_string(deadline.count())}};
    if (service == "keyed") {
        head.headers.push_back({"X-Shard-Key", std::to_string(key)});
    }
    note("client at machine " + std::to_string(place) + " sends " + request->id + " (" + service +
         (safe ? ", safe" : ", unsafe") + ", key " + std::to_string(key) + ")");
    call(node_address(place, "callers"), head, safe ? "" : "body", deadline,
         [this, request](int status, const std::string &) {
             request->status = status;
             note("client gets " +
                  (status == -1 ? std::string("no answer") : std::to_string(status)) + " for " +
                  request->id);
         });
    return request;
}

void deployment::judge_take(const server &by, const held_row &row) {
    const auto now = steady::now();
    for (std::uint32_t key = 0; key <= last_key; key += sample_distance) {
        if (row.from <= key && key <= row.to) {
            m_fences[key] = std::max(m_fences[key], row.fence);
        }
    }
    for (const auto &other : m_servers) {
        if (other.get() == &by || !other->up()) {
            continue;
        }
        for (const held_row &held : other->holds()) {
            const std::uint32_t from = std::max(held.from, row.from);
            const std::uint32_t to = std::min(held.to, row.to);
            if (from > to || held.until - now < timer_slack) {
                continue;
            }
            const std::string what = by.id() + " takes keys " + std::to_string(from) + " to " +
                                     std::to_string(to) + ", which " + other->id() +
                                     " holds for another " + text_of(held.until - now) + " s";
            if (other->at_work_on(from, to)) {
                violate("OWNER: " + what + " and is at work on");
            } else {
                note(what);
            }
        }
    }
}

// ---- raw connections ----

raw_client::raw_client(asio::io_context &io, const std::string &address) : m_socket(io) {
    const std::size_t colon = address.rfind(':');
    asio::error_code error;
    m_socket.connect({asio::ip::make_address(address.substr(0, colon)),
                      static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))},
                     error);
    m_ended = static_cast<bool>(error);
}

void raw_client::write(const std::string &bytes) {
    asio::error_code error;
    asio::write(m_socket, asio::buffer(bytes), error);
}

void raw_client::read(bool on) {
    m_on = on;
    read_some();
}

void raw_client::read_some() {
    if (!m_on || m_waiting || m_ended) {
        return;
    }
    m_waiting = true;
    m_socket.async_wait(
        asio::socket_base::wait_read, [self = shared_from_this()](asio::error_code error) {
            self->m_waiting = false;
            if (!self->m_on || error) {
                return;
            }
            const std::size_t size = self->m_socket.read_some(asio::buffer(self->m_buffer), error);
            self->m_received.append(self->m_buffer.data(), size);
            self->m_ended = static_cast<bool>(error);
            self->read_some();
        });
}

std::vector<raw_answer> raw_client::answers() const {
    std::vector<raw_answer> result;
    std::size_t at = 0;
    while (at < m_received.size()) {
        const std::size_t end = m_received.find("\r\n\r\n", at);
        if (end == std::string::npos) {
            break;
        }
        const std::string head = m_received.substr(at, end - at) + "\r\n";
        const auto field = [&head](const std::string &name) {
            const std::size_t place = head.find("\r\n" + name + ": ");
            const std::size_t from = place + name.size() + 4;
            return place == std::string::npos ? std::string()
                                              : head.substr(from, head.find("\r\n", from) - from);
        };
        const std::string length = field("Content-Length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        at = end + 4 + size;
        result.push_back({.status = std::stoi(head.substr(9, 3)),
                          .id = field("X-Request-Id"),
                          .whole = !length.empty() && at <= m_received.size()});
    }
    return result;
}

// ---- cases ----

bool with_trouble() {
    const char *word = std::getenv("TROUBLE");
    return word == nullptr || std::string(word) != "0";
}

int verdict(deployment &played, bool could_run) {
    if (!could_run) {
        played.note("the case could not run");
        return 2;
    }
    played.note(played.violations().empty() ? "the rule held" : "the rule was broken");
    return played.violations().empty() ? 0 : 1;
}

options options_from(int count, char **words) {
    options result;
    if (count == 4) {
        result.program = words[1];
        result.folder = words[2];
        result.record = words[3];
    }
    return result;
}

} // namespace review
