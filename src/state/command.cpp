#include "peppertack/state/command.hpp"

#include "json_fields.hpp"

#include <array>

namespace peppertack {

namespace {

constexpr int command_version = 1;

constexpr std::array<const char *, std::variant_size_v<command_body>> kind_names{
    "change_table",  "register_target", "expire_targets", "drain_target",
    "retire_target", "grant_ranges",    "plan_moves",     "release_range",
    "split_range",   "merge_range",     "set_standby",    "restore_memory",
    "change_routes", "report_crash",    "clear_suspects", "evacuate_domain"};

template <std::size_t Index = 0>
bool read_body(const std::string &kind, const nlohmann::json &json, command_body &body) {
    if constexpr (Index < std::variant_size_v<command_body>) {
        if (kind == kind_names[Index]) {
            body = json.get<std::variant_alternative_t<Index, command_body>>();
            return true;
        }
        return read_body<Index + 1>(kind, json, body);
    }
    return false;
}

} // namespace

const char *kind_name(const command_body &body) {
    return kind_names[body.index()];
}

std::string encode(const command &value) {
    nlohmann::json json{{"v", command_version},
                        {"wall_ms", value.wall_ms},
                        {"actor", value.actor},
                        {"cause", value.cause},
                        {"kind", kind_name(value.body)}};
    std::visit([&](const auto &body) { json["body"] = body; }, value.body);
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<command> decode_command(std::string_view text, std::string &reason) {
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        if (json.at("v").get<int>() != command_version) {
            reason = "command version " + json.at("v").dump() + " is not supported";
            return std::nullopt;
        }
        command result;
        result.wall_ms = json.at("wall_ms").get<std::int64_t>();
        result.actor = json.at("actor").get<std::string>();
        result.cause = json.at("cause").get<std::string>();
        if (!read_body(json.at("kind").get<std::string>(), json.at("body"), result.body)) {
            reason = "unknown kind of command " + json.at("kind").dump();
            return std::nullopt;
        }
        return result;
    } catch (const nlohmann::json::exception &error) {
        reason = error.what();
        return std::nullopt;
    }
}

} // namespace peppertack
