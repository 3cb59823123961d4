#include "command_line.hpp"
#include "peppertack/state/audit_log.hpp"
#include "peppertack/state/table.hpp"
#include "peppertack/transport/audit_report.hpp"
#include "peppertack/transport/version.hpp"

#include <chrono>
#include <cstdlib>
#include <ctime>
#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <httplib.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace peppertack;

namespace {

constexpr auto retry_pause = std::chrono::milliseconds(150);
constexpr auto patience = std::chrono::seconds(6);

constexpr const char *usage =
    R"(peppertack: edits the table, announces planned stops, explains decisions

usage: peppertack [options] COMMAND

  table check FILE              checks a table file; asks no process
  table get                     prints the table in force as CSV
  table apply FILE              applies a table
      --base-version N          version it is based on (default: the one in force)
      --change-id ID            name of the change; send it again under the same name if the answer
                                was lost (default: a new one, which is printed)
  table status                  the version in force, and the nodes that don't have it yet
  table history                 every change of the table
  stop announce TARGET          announces a planned stop
  stop status                   planned stops under way
  evacuate DOMAIN               sends nothing more to the targets of a failure domain
      --withdraw                takes the failure domain back into use
  evacuations                   evacuated failure domains, and what is left there
  targets                       the targets and what they own
  suspects list                 requests under which targets have ended, and which are quarantined
  suspects clear FINGERPRINT    lets such a request reach targets again
  explain --service S --key K [--at TIME]
                                who owned a key and why; TIME in milliseconds since 1970 or as
                                2026-12-02T18:00:00 (UTC)
  audit verify                  proves that no record was changed or removed
  audit report FILE             writes a page for people
  trace ID FILE...              what logs of several processes say of a request, and why it ended so;
                                asks no process
  trace --summary FILE...       answers by route and cause in logs of several processes
  voter replace ADD [REMOVE]    makes ADD a voter, in place of REMOVE
  dump [ADDRESS]                a process's whole state

options:
  --addresses A,B,C   HTTP addresses of voters (or PEPPERTACK_ADDRESSES)
  --json              answers for programs
  --help, --version

environment: PEPPERTACK_OPERATOR_TOKEN for whatever changes something, PEPPERTACK_OPERATOR for the
name that audit records show.
exit: 0 done, 1 refused, 2 usage, 3 could not reach or outcome unknown
)";

struct answer {
    int status = 0;
    std::string body;
    nlohmann::json json;
};

std::string environment(const char *name) {
    const char *value = std::getenv(name);
    return value == nullptr ? "" : value;
}

std::string encoded(const std::string &text) {
    std::ostringstream out;
    for (const char c : text) {
        if (std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.') {
            out << c;
        } else {
            constexpr const char *digits = "0123456789ABCDEF";
            const auto byte = static_cast<unsigned char>(c);
            out << '%' << digits[byte >> 4U] << digits[byte & 0xfU];
        }
    }
    return out.str();
}

using send_call = std::function<httplib::Result(httplib::Client &)>;

std::optional<answer> ask_one(const std::string &address, const send_call &send) {
    httplib::Client client("http://" + address);
    client.set_connection_timeout(std::chrono::seconds(1));
    client.set_read_timeout(std::chrono::seconds(6));
    const std::string token = environment("PEPPERTACK_OPERATOR_TOKEN");
    httplib::Headers headers{{"Peppertack-Operator", environment("PEPPERTACK_OPERATOR")}};
    if (!token.empty()) {
        headers.emplace("Authorization", "Bearer " + token);
    }
    client.set_default_headers(headers);
    const httplib::Result result = send(client);
    if (!result) {
        return std::nullopt;
    }
    return answer{result->status, result->body,
                  nlohmann::json::parse(result->body, nullptr, false)};
}

bool is_not_leader(const answer &given) {
    return given.json.is_object() && given.json.value("kind", "") == "not-leader";
}

/// Asks the voters in turn until the leader answers. A call that may have taken effect ends the
/// search, since asking again is safe only under the same change id.
std::optional<answer> ask_leader(const call_options &options, const send_call &send) {
    const auto until = std::chrono::steady_clock::now() + patience;
    std::optional<answer> last;
    while (std::chrono::steady_clock::now() < until) {
        for (const std::string &address : options.addresses) {
            std::optional<answer> given = ask_one(address, send);
            if (given && !is_not_leader(*given)) {
                return given;
            }
            if (given) {
                last = std::move(given);
            }
        }
        std::this_thread::sleep_for(retry_pause);
    }
    return last;
}

int print_unreached(const call_options &options) {
    std::cerr << "peppertack: no leading voter could be reached at";
    for (const std::string &address : options.addresses) {
        std::cerr << " " << address;
    }
    std::cerr << "\n";
    return exit_unreached;
}

/// Prints an error answer and yields its exit code, or nothing if the answer is none.
std::optional<int> print_error(const call_options &options, const std::optional<answer> &given) {
    if (!given || is_not_leader(*given)) {
        return print_unreached(options);
    }
    if (given->status < 400) {
        return std::nullopt;
    }
    if (options.json) {
        std::cout << given->body;
    } else if (given->json.is_object()) {
        std::cerr << "peppertack: "
                  << given->json.value("title", given->json.value("kind", "error"));
        const std::string detail = given->json.value("detail", "");
        std::cerr << (detail.empty() ? "" : ": " + detail) << "\n";
    } else {
        std::cerr << "peppertack: HTTP status " << given->status << "\n";
    }
    return exit_refused;
}

using show_answer = std::function<void(const nlohmann::json &)>;

int show(const call_options &options, const std::string &path, const show_answer &print) {
    const std::optional<answer> given =
        ask_leader(options, [&](httplib::Client &client) { return client.Get(path.c_str()); });
    if (const std::optional<int> code = print_error(options, given)) {
        return *code;
    }
    if (options.json) {
        std::cout << given->body;
    } else {
        print(given->json);
    }
    return exit_done;
}

std::string time_text(std::int64_t wall_ms) {
    const std::time_t seconds = wall_ms / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text.data();
}

std::optional<std::int64_t> time_value(const std::string &text) {
    if (!text.empty() && text.find_first_not_of("0123456789") == std::string::npos) {
        return std::strtoll(text.c_str(), nullptr, 10);
    }
    std::tm parts{};
    const char *end = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (end == nullptr || (*end != '\0' && std::string(end) != "Z")) {
        return std::nullopt;
    }
    return static_cast<std::int64_t>(timegm(&parts)) * 1000;
}

// ---- table ----

std::optional<std::string> read_file(const std::string &name) {
    std::ifstream in(name, std::ios::binary);
    if (!in) {
        return std::nullopt;
    }
    std::ostringstream content;
    content << in.rdbuf();
    return content.str();
}

int table_check(const call_options &options) {
    if (options.words.size() != 3) {
        return usage_error("table check takes one file");
    }
    const std::optional<std::string> csv = read_file(options.words[2]);
    if (!csv) {
        std::cerr << "peppertack: can't read " << options.words[2] << "\n";
        return exit_refused;
    }
    std::vector<table_problem> problems;
    const std::optional<table> read = make_table(*csv, problems);
    for (const table_problem &problem : problems) {
        std::cerr << options.words[2] << ": " << describe(problem) << "\n";
    }
    if (read) {
        std::cout << options.words[2] << ": " << read->rows().size() << " rows, no errors\n";
    }
    return read ? exit_done : exit_refused;
}

std::string new_change_id() {
    std::random_device device;
    std::ostringstream out;
    out << "change-" << std::hex << device() << device();
    return out.str();
}

int table_apply(const call_options &options) {
    if (options.words.size() != 3) {
        return usage_error("table apply takes one file");
    }
    const std::optional<std::string> csv = read_file(options.words[2]);
    if (!csv) {
        std::cerr << "peppertack: can't read " << options.words[2] << "\n";
        return exit_refused;
    }
    std::string base = options.value("base-version");
    if (base.empty()) {
        const std::optional<answer> current =
            ask_leader(options, [](httplib::Client &client) { return client.Get("/v1/table"); });
        if (const std::optional<int> code = print_error(options, current)) {
            return *code;
        }
        base = std::to_string(current->json.value("version", 0ULL));
    }
    std::string change_id = options.value("change-id");
    if (change_id.empty()) {
        change_id = new_change_id();
        std::cerr << "change id " << change_id << "\n";
    }
    const std::string path =
        "/v1/table?base_version=" + encoded(base) + "&change_id=" + encoded(change_id);
    const std::optional<answer> given = ask_leader(options, [&](httplib::Client &client) {
        return client.Post(path.c_str(), *csv, "text/csv");
    });
    if (given && given->json.is_object() && given->json.contains("problems")) {
        for (const nlohmann::json &problem : given->json["problems"]) {
            std::cerr << options.words[2] << ": " << problem.value("text", "") << "\n";
        }
        return exit_refused;
    }
    if (given && given->json.value("kind", "") == "version-conflict") {
        std::cerr << "peppertack: version " << given->json.value("version", 0ULL)
                  << " is in force, by change " << given->json.value("winner_change_id", "")
                  << " of " << given->json.value("winner_actor", "") << "; nothing was changed\n";
        return exit_refused;
    }
    if (const std::optional<int> code = print_error(options, given)) {
        return *code;
    }
    if (options.json) {
        std::cout << given->body;
    } else {
        std::cout << "version " << given->json.value("version", 0ULL) << "\n";
    }
    return exit_done;
}

int table_get(const call_options &options) {
    return show(options, "/v1/table",
                [](const nlohmann::json &json) { std::cout << json.value("csv", ""); });
}

int table_status(const call_options &options) {
    return show(options, "/v1/table/status", [](const nlohmann::json &json) {
        std::cout << "version " << json.value("version", 0ULL) << ", " << json.value("nodes", 0ULL)
                  << " nodes, "
                  << (json.value("in_force_everywhere", false) ? "in force everywhere"
                                                               : "not yet in force everywhere")
                  << "\n";
        for (const nlohmann::json &node : json["laggards"]) {
            std::cout << "  " << node.value("node", "") << " has version "
                      << node.value("table_version", 0ULL) << "\n";
        }
    });
}

int table_history(const call_options &options) {
    return show(options, "/v1/table/history", [](const nlohmann::json &json) {
        for (const nlohmann::json &change : json) {
            std::cout << time_text(change.value("wall_ms", std::int64_t{0})) << "  "
                      << change.value("actor", "") << "  " << change.value("before", "") << " -> "
                      << change.value("after", "") << "\n";
        }
    });
}

// ---- stops, targets, explanations ----

int stop_announce(const call_options &options) {
    if (options.words.size() != 3) {
        return usage_error("stop announce takes one target");
    }
    const std::string path = "/v1/stops?target=" + encoded(options.words[2]);
    const std::optional<answer> given = ask_leader(options, [&](httplib::Client &client) {
        return client.Post(path.c_str(), "", "text/plain");
    });
    if (const std::optional<int> code = print_error(options, given)) {
        return *code;
    }
    std::cout << (options.json ? given->body : options.words[2] + " is draining\n");
    return exit_done;
}

int stop_status(const call_options &options) {
    return show(options, "/v1/stops", [](const nlohmann::json &json) {
        for (const nlohmann::json &stop : json) {
            std::cout << stop.value("target", "") << ": " << stop.value("ranges_left", 0ULL)
                      << " ranges left\n";
        }
        if (json.empty()) {
            std::cout << "no planned stop is under way\n";
        }
    });
}

int evacuate(const call_options &options) {
    if (options.words.size() != 2) {
        return usage_error("evacuate takes one failure domain");
    }
    const std::string &domain = options.words[1];
    const std::string path =
        "/v1/evacuations?domain=" + encoded(domain) + (options.withdraw ? "&withdraw=yes" : "");
    const std::optional<answer> given = ask_leader(options, [&](httplib::Client &client) {
        return client.Post(path.c_str(), "", "text/plain");
    });
    if (const std::optional<int> code = print_error(options, given)) {
        return *code;
    }
    std::cout << (options.json ? given->body
                               : domain + (options.withdraw ? " is in use\n" : " is evacuated\n"));
    return exit_done;
}

int list_evacuations(const call_options &options) {
    return show(options, "/v1/evacuations", [](const nlohmann::json &json) {
        for (const nlohmann::json &item : json) {
            std::cout << item.value("failure_domain", "") << ": " << item.value("targets", 0ULL)
                      << " targets, " << item.value("ranges_left", 0ULL) << " ranges left\n";
        }
        if (json.empty()) {
            std::cout << "no failure domain is evacuated\n";
        }
    });
}

int list_suspects(const call_options &options) {
    return show(options, "/v1/suspects", [](const nlohmann::json &json) {
        for (const nlohmann::json &suspect : json) {
            std::cout << suspect.value("fingerprint", "") << "  "
                      << suspect.value("ends", std::uint64_t(0)) << " targets ended  "
                      << (suspect.value("quarantined", false) ? "quarantined" : "watched") << "\n";
        }
    });
}

int clear_suspect(const call_options &options) {
    if (options.words.size() != 3) {
        return usage_error("suspects clear takes one fingerprint");
    }
    const std::string path = "/v1/suspects?clear=" + encoded(options.words[2]);
    const std::optional<answer> given = ask_leader(options, [&](httplib::Client &client) {
        return client.Post(path.c_str(), "", "text/plain");
    });
    if (const std::optional<int> code = print_error(options, given)) {
        return *code;
    }
    std::cout << (options.json ? given->body : options.words[2] + " is cleared\n");
    return exit_done;
}

int list_targets(const call_options &options) {
    return show(options, "/v1/targets", [](const nlohmann::json &json) {
        for (const nlohmann::json &target : json) {
            std::cout << target.value("name", "") << "  " << target.value("service", "") << "  "
                      << target.value("failure_domain", "") << "  " << target.value("phase", "")
                      << "  " << target.value("ranges", 0ULL) << " ranges  standby "
                      << target.value("standby", "")
                      << (target.value("standby_ready", false) ? "" : " (not ready)") << "\n";
        }
    });
}

int explain(const call_options &options) {
    std::string path = "/v1/explain?service=" + encoded(options.value("service")) +
                       "&key=" + encoded(options.value("key"));
    if (options.value("service").empty() || options.value("key").empty()) {
        return usage_error("explain takes --service and --key");
    }
    if (!options.value("at").empty()) {
        const std::optional<std::int64_t> at = time_value(options.value("at"));
        if (!at) {
            return usage_error("--at: \"" + options.value("at") + "\" is no time");
        }
        path += "&at=" + std::to_string(*at);
    }
    return show(options, path, [](const nlohmann::json &json) {
        const std::string owner = json.value("owner", "");
        std::cout << json.value("service", "") << " / " << json.value("key", "") << " at "
                  << time_text(json.value("at_ms", std::int64_t{0})) << ": "
                  << (owner.empty() ? "no owner" : "owned by " + owner) << ", token "
                  << json.value("token", 0ULL) << ", table version "
                  << json.value("table_version", 0ULL) << "\n";
        if (!json.value("complete", true)) {
            std::cout << "  (this voter's records have a gap; ask another voter too)\n";
        }
        for (const nlohmann::json &event : json["events"]) {
            std::cout << "  " << time_text(event.value("wall_ms", std::int64_t{0})) << "  "
                      << event.value("kind", "") << " by " << event.value("actor", "") << ": "
                      << event.value("cause", "") << "; owner "
                      << (event.value("owner", "").empty() ? "none" : event.value("owner", ""))
                      << "\n";
        }
    });
}

std::optional<std::vector<audit_record>> fetch_audit(const call_options &options) {
    const std::optional<answer> given =
        ask_leader(options, [](httplib::Client &client) { return client.Get("/v1/audit"); });
    if (print_error(options, given) || !given->json.is_array()) {
        return std::nullopt;
    }
    std::vector<audit_record> records;
    std::string reason;
    for (const nlohmann::json &item : given->json) {
        if (auto record = decode_audit(item.dump(), reason)) {
            records.push_back(std::move(*record));
        }
    }
    return records;
}

int audit_verify(const call_options &options) {
    const std::optional<std::vector<audit_record>> records = fetch_audit(options);
    if (!records) {
        return exit_unreached;
    }
    const chain_report report = verify_chain(*records);
    for (const std::string &fault : report.faults) {
        std::cerr << "peppertack: " << fault << "\n";
    }
    std::cout << report.records << " records, "
              << (report.intact ? "the chain is whole" : "the chain is broken") << "\n";
    return report.intact ? exit_done : exit_refused;
}

int audit_report_page(const call_options &options) {
    if (options.words.size() != 3) {
        return usage_error("audit report takes one file");
    }
    const std::optional<std::vector<audit_record>> records = fetch_audit(options);
    if (!records) {
        return exit_unreached;
    }
    std::ofstream out(options.words[2]);
    out << audit_report(*records);
    if (!out.flush()) {
        std::cerr << "peppertack: can't write " << options.words[2] << "\n";
        return exit_refused;
    }
    std::cout << options.words[2] << ": " << records->size() << " records\n";
    return exit_done;
}

int voter_replace(const call_options &options) {
    if (options.words.size() < 3 || options.words.size() > 4) {
        return usage_error("voter replace takes one or two peer addresses");
    }
    std::string path = "/v1/voters?add=" + encoded(options.words[2]);
    if (options.words.size() == 4) {
        path += "&remove=" + encoded(options.words[3]);
    }
    const std::optional<answer> given = ask_leader(options, [&](httplib::Client &client) {
        return client.Post(path.c_str(), "", "text/plain");
    });
    if (const std::optional<int> code = print_error(options, given)) {
        return *code;
    }
    std::cout << (options.json ? given->body : options.words[2] + " joins once it has caught up\n");
    return exit_done;
}

int dump(const call_options &options) {
    const std::vector<std::string> asked =
        options.words.size() > 1 ? std::vector<std::string>{options.words[1]} : options.addresses;
    for (const std::string &address : asked) {
        const std::optional<answer> given =
            ask_one(address, [](httplib::Client &client) { return client.Get("/dump"); });
        if (given && given->status == 200) {
            std::cout << given->body;
            return exit_done;
        }
    }
    return print_unreached(options);
}

struct command_entry {
    const char *words = nullptr;
    int (*run)(const call_options &) = nullptr;
    bool offline = false; ///< asks no process
};

constexpr std::array<command_entry, 18> commands{{{"table check", table_check, true},
                                                  {"table get", table_get},
                                                  {"table apply", table_apply},
                                                  {"table status", table_status},
                                                  {"table history", table_history},
                                                  {"stop announce", stop_announce},
                                                  {"stop status", stop_status},
                                                  {"evacuate", evacuate},
                                                  {"evacuations", list_evacuations},
                                                  {"targets", list_targets},
                                                  {"suspects list", list_suspects},
                                                  {"suspects clear", clear_suspect},
                                                  {"explain", explain},
                                                  {"audit verify", audit_verify},
                                                  {"audit report", audit_report_page},
                                                  {"trace", trace_command, true},
                                                  {"voter replace", voter_replace},
                                                  {"dump", dump}}};

bool matches(const command_entry &entry, const std::vector<std::string> &words) {
    const std::string name = entry.words;
    if (words.empty()) {
        return false;
    }
    return name == words[0] || (words.size() > 1 && name == words[0] + " " + words[1]);
}

std::vector<std::string> split(const std::string &text) {
    std::vector<std::string> items;
    std::istringstream in(text);
    std::string item;
    while (std::getline(in, item, ',')) {
        items.push_back(item);
    }
    return items;
}

} // namespace

int main(int count, char **values) {
    cxxopts::Options table("peppertack");
    auto add = table.add_options();
    const std::vector<std::string> valued{"addresses", "base-version", "change-id",
                                          "service",   "key",          "at"};
    for (const std::string &name : valued) {
        add(name, "", cxxopts::value<std::string>());
    }
    add("json", "");
    add("summary", "");
    add("withdraw", "");
    add("help", "");
    add("version", "");
    call_options options;
    try {
        const cxxopts::ParseResult parsed = table.parse(count, values);
        if (parsed.count("help") != 0) {
            std::cout << usage;
            return exit_done;
        }
        if (parsed.count("version") != 0) {
            std::cout << "peppertack " << program_version << "\n";
            return exit_done;
        }
        for (const std::string &name : valued) {
            if (parsed.count(name) != 0) {
                options.values[name] = parsed[name].as<std::string>();
            }
        }
        options.json = parsed.count("json") != 0;
        options.summary = parsed.count("summary") != 0;
        options.withdraw = parsed.count("withdraw") != 0;
        options.words = parsed.unmatched();
    } catch (const cxxopts::exceptions::exception &error) {
        return usage_error(error.what());
    }
    const std::string given = options.value("addresses");
    options.addresses = split(given.empty() ? environment("PEPPERTACK_ADDRESSES") : given);
    for (const command_entry &entry : commands) {
        if (!matches(entry, options.words)) {
            continue;
        }
        const bool offline =
            entry.offline || (std::string(entry.words) == "dump" && options.words.size() > 1);
        if (options.addresses.empty() && !offline) {
            return usage_error("--addresses or PEPPERTACK_ADDRESSES is needed");
        }
        return entry.run(options);
    }
    return usage_error(options.words.empty() ? "a command is needed" : "unknown command");
}
