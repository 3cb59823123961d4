#include "operator_api.hpp"

#include "peppertack/protocol/error_answer.hpp"
#include "peppertack/state/audit_log.hpp"
#include "peppertack/state/key_hash.hpp"
#include "peppertack/state/table.hpp"
#include "peppertack/transport/control_host.hpp"
#include "peppertack/transport/key_history.hpp"
#include "wall_clock.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace peppertack {

namespace {

constexpr const char *json_type = "application/json";
constexpr duration answer_patience = std::chrono::seconds(4);
constexpr std::size_t longest_change_id = 128;

void write_json(httplib::Response &out, const nlohmann::json &json) {
    out.set_content(json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n",
                    json_type);
}

void write_error(httplib::Response &out, error_kind kind, const std::string &detail,
                 outcome result = outcome::not_run) {
    out.status = answer_for(kind).status;
    out.set_content(problem_json(kind, detail, result), "application/problem+json");
}

void write_view(httplib::Response &out, const std::optional<nlohmann::json> &view) {
    if (view) {
        write_json(out, *view);
    } else {
        write_error(out, error_kind::not_leader, "");
    }
}

std::string actor_of(const httplib::Request &request) {
    const std::string given = request.get_header_value("Peppertack-Operator");
    return given.empty() ? "operator" : "operator " + given;
}

/// Errors of a submitted command. True if it took effect.
bool write_submit_error(httplib::Response &out, const std::optional<submit_answer> &answer) {
    if (!answer) {
        write_error(out, error_kind::not_leader,
                    "no answer in time: it may or may not take effect; send it again with the same "
                    "change id",
                    outcome::unknown);
        return false;
    }
    if (answer->error == error_kind::not_leader) {
        write_error(out, error_kind::not_leader, "",
                    answer->certain ? outcome::not_run : outcome::unknown);
        return false;
    }
    return true;
}

void apply_table(control_host &control, const httplib::Request &request, httplib::Response &out) {
    change_table change;
    change.csv = request.body;
    change.change_id = request.get_param_value("change_id");
    const std::string base = request.get_param_value("base_version");
    const char *end = base.data() + base.size();
    const auto [stop, fault] = std::from_chars(base.data(), end, change.base_version);
    if (fault != std::errc{} || stop != end || change.change_id.empty() ||
        change.change_id.size() > longest_change_id) {
        write_error(out, error_kind::malformed_request,
                    "base_version: a whole number; change_id: 1 to 128 characters");
        return;
    }
    std::vector<table_problem> problems;
    if (!make_table(change.csv, problems)) {
        nlohmann::json list = nlohmann::json::array();
        for (const table_problem &problem : problems) {
            list.push_back({{"line", problem.line},
                            {"column", problem.column},
                            {"value", problem.value},
                            {"allowed", problem.allowed},
                            {"text", describe(problem)}});
        }
        out.status = answer_for(error_kind::bad_table).status;
        write_json(out, {{"kind", answer_for(error_kind::bad_table).name}, {"problems", list}});
        return;
    }
    command value{0, actor_of(request), "table edited", std::move(change)};
    const std::optional<submit_answer> answer = control.submit(std::move(value), answer_patience);
    if (!write_submit_error(out, answer)) {
        return;
    }
    const change_answer &result = *answer->change;
    const nlohmann::json json{{"kind", answer_for(result.error).name},
                              {"version", result.version},
                              {"winner_change_id", result.winner_change_id},
                              {"winner_actor", result.winner_actor}};
    out.status = answer_for(result.error).status;
    write_json(out, json);
}

void announce_stop(control_host &control, const httplib::Request &request, httplib::Response &out) {
    const std::string name = request.get_param_value("target");
    const std::optional<nlohmann::json> targets = control.targets_view();
    if (!targets) {
        write_error(out, error_kind::not_leader, "");
        return;
    }
    for (const nlohmann::json &target : *targets) {
        if (target["name"] != name) {
            continue;
        }
        command value{0, actor_of(request), "planned stop announced",
                      drain_target{target["number"].get<target_number>()}};
        if (write_submit_error(out, control.submit(std::move(value), answer_patience))) {
            write_json(out, {{"target", name}, {"phase", "draining"}});
        }
        return;
    }
    write_error(out, error_kind::not_found, "target " + name);
}

void change_evacuation(control_host &control, const httplib::Request &request,
                       httplib::Response &out) {
    const std::string domain = request.get_param_value("domain");
    if (domain.empty() || domain.size() > longest_change_id) {
        write_error(out, error_kind::malformed_request, "domain: 1 to 128 characters");
        return;
    }
    const auto promise = std::make_shared<std::promise<evacuation_answer>>();
    std::future<evacuation_answer> answer = promise->get_future();
    const bool withdrawn = request.has_param("withdraw");
    control.change_evacuation(
        {.body = {.domain = domain, .withdrawn = withdrawn}, .actor = actor_of(request)},
        [promise](evacuation_answer told) { promise->set_value(std::move(told)); });
    if (answer.wait_for(answer_patience) != std::future_status::ready) {
        write_error(out, error_kind::not_leader,
                    "no answer in time: it may or may not take effect; send it again",
                    outcome::unknown);
        return;
    }
    const evacuation_answer told = answer.get();
    if (told.error != error_kind::none) {
        write_error(out, told.error,
                    told.error == error_kind::not_found ? "failure domain " + domain : "");
        return;
    }
    write_json(out, {{"failure_domain", domain}, {"evacuated", !withdrawn}});
}

void clear_suspect(control_host &control, const httplib::Request &request, httplib::Response &out) {
    const std::string text = request.get_param_value("clear");
    const std::optional<std::uint64_t> fingerprint = parse_fingerprint(text);
    if (!fingerprint) {
        write_error(out, error_kind::malformed_request, "clear: 16 hexadecimal digits");
        return;
    }
    command value{0, actor_of(request), "cleared by an operator",
                  clear_suspects{.fingerprints = {*fingerprint}}};
    const std::optional<submit_answer> answer = control.submit(std::move(value), answer_patience);
    if (!write_submit_error(out, answer)) {
        return;
    }
    if (answer->error != error_kind::none) {
        write_error(out, error_kind::not_found, "request " + text);
        return;
    }
    write_json(out, {{"cleared", text}});
}

nlohmann::json stops_of(const nlohmann::json &targets) {
    nlohmann::json list = nlohmann::json::array();
    for (const nlohmann::json &target : targets) {
        if (target["phase"] == "draining") {
            list.push_back({{"target", target["name"]}, {"ranges_left", target["ranges"]}});
        }
    }
    return list;
}

nlohmann::json history_of(const std::vector<audit_record> &records) {
    nlohmann::json list = nlohmann::json::array();
    for (const audit_record &record : records) {
        if (record.kind == "change_table") {
            list.push_back({{"sequence", record.sequence},
                            {"wall_ms", record.wall_ms},
                            {"actor", record.actor},
                            {"before", record.before.substr(0, record.before.find('\n'))},
                            {"after", record.after.substr(0, record.after.find('\n'))}});
        }
    }
    return list;
}

void explain(control_host &control, const httplib::Request &request, httplib::Response &out) {
    const std::string service = request.get_param_value("service");
    const std::string key = request.get_param_value("key");
    std::int64_t at_ms = read_clocks().wall_ms;
    const std::string at = request.get_param_value("at");
    const char *end = at.data() + at.size();
    const auto [stop, fault] = std::from_chars(at.data(), end, at_ms);
    if (service.empty() || key.empty() || (!at.empty() && (fault != std::errc{} || stop != end))) {
        write_error(out, error_kind::malformed_request,
                    "service and key: not empty; at: milliseconds since 1970");
        return;
    }
    const key_history history =
        history_of_key(control.audit_records(), service, key_hash(key), at_ms);
    nlohmann::json steps = nlohmann::json::array();
    for (const key_event &event : history.events) {
        steps.push_back({{"sequence", event.sequence},
                         {"wall_ms", event.wall_ms},
                         {"kind", event.kind},
                         {"actor", event.actor},
                         {"cause", event.cause},
                         {"owner", event.owner},
                         {"token", event.token}});
    }
    write_json(out, {{"service", service},
                     {"key", key},
                     {"hash", std::to_string(key_hash(key))},
                     {"at_ms", at_ms},
                     {"owner", history.owner},
                     {"token", history.token},
                     {"table_version", history.table_version},
                     {"complete", history.complete},
                     {"events", steps}});
}

nlohmann::json audit_json(const std::vector<audit_record> &records) {
    nlohmann::json list = nlohmann::json::array();
    for (const audit_record &record : records) {
        list.push_back(nlohmann::json::parse(encode(record)));
    }
    return list;
}

void replace_voter(control_host &control, const httplib::Request &request, httplib::Response &out) {
    const std::string learner = request.get_param_value("add");
    const std::string old = request.get_param_value("remove");
    const bool taken = control.replace_voter(
        learner, old.empty() ? std::nullopt : std::optional<node_address>(old));
    if (!taken) {
        write_error(out, error_kind::not_leader,
                    "this process does not lead, a change is under way, or the voters named don't "
                    "fit");
        return;
    }
    write_json(out, {{"adding", learner}, {"removing", old}});
}

} // namespace

void add_operator_routes(httplib::Server &server, control_host *control,
                         const add_reading_route &add_reading, check_operator may_change) {
    const auto reading = [&](const char *path, auto answer) {
        add_reading(path,
                    [control, answer](const httplib::Request &request, httplib::Response &out) {
                        if (control == nullptr) {
                            write_error(out, error_kind::not_leader, "this process is no voter");
                        } else {
                            answer(*control, request, out);
                        }
                    });
    };
    const auto changing = [&](const char *path, auto change) {
        server.Post(path, [control, may_change, change](const httplib::Request &request,
                                                        httplib::Response &out) {
            if (!may_change(request, out)) {
                return;
            }
            if (control == nullptr) {
                write_error(out, error_kind::not_leader, "this process is no voter");
            } else {
                change(*control, request, out);
            }
        });
    };
    reading("/v1/table", [](control_host &host, const auto &, auto &out) {
        write_view(out, host.table_view());
    });
    reading("/v1/table/status", [](control_host &host, const auto &, auto &out) {
        write_view(out, host.table_status());
    });
    reading("/v1/table/history", [](control_host &host, const auto &, auto &out) {
        write_json(out, history_of(host.audit_records()));
    });
    reading("/v1/targets", [](control_host &host, const auto &, auto &out) {
        write_view(out, host.targets_view());
    });
    reading("/v1/stops", [](control_host &host, const auto &, auto &out) {
        const std::optional<nlohmann::json> targets = host.targets_view();
        write_view(out, targets ? std::optional(stops_of(*targets)) : std::nullopt);
    });
    reading("/v1/evacuations", [](control_host &host, const auto &, auto &out) {
        write_view(out, host.evacuations_view());
    });
    reading("/v1/suspects", [](control_host &host, const auto &, auto &out) {
        write_view(out, host.suspects_view());
    });
    reading("/v1/explain", [](control_host &host, const auto &request, auto &out) {
        explain(host, request, out);
    });
    reading("/v1/audit", [](control_host &host, const auto &, auto &out) {
        write_json(out, audit_json(host.audit_records()));
    });
    changing("/v1/table", apply_table);
    changing("/v1/stops", announce_stop);
    changing("/v1/evacuations", change_evacuation);
    changing("/v1/suspects", clear_suspect);
    changing("/v1/voters", replace_voter);
}

} // namespace peppertack
