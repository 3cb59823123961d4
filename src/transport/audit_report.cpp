#include "peppertack/transport/audit_report.hpp"

#include "peppertack/state/audit_log.hpp"

#include <array>
#include <ctime>
#include <sstream>

namespace peppertack {

namespace {

constexpr std::size_t longest_cell = 400;

constexpr const char *page_head = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>peppertack: decisions</title>
<style>
body { font-family: sans-serif; max-width: 70rem; margin: 2rem auto; padding: 0 1rem; }
table { border-collapse: collapse; width: 100%; }
td, th { border: 1px solid #bbb; padding: 0.3rem 0.5rem; text-align: left; vertical-align: top; }
pre { background: #f4f4f4; padding: 0.6rem; overflow-x: auto; }
.whole { color: #060; } .broken { color: #a00; font-weight: bold; }
</style></head><body>
)";

std::string escaped(const std::string &text) {
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '&': out += "&amp;"; break;
        case '<': out += "&lt;"; break;
        case '>': out += "&gt;"; break;
        case '"': out += "&quot;"; break;
        default: out += c;
        }
    }
    return out;
}

std::string cell(const std::string &text) {
    const bool cut = text.size() > longest_cell;
    return "<td>" + escaped(text.substr(0, longest_cell)) + (cut ? " …" : "") + "</td>";
}

std::string time_text(std::int64_t wall_ms) {
    const std::time_t seconds = wall_ms / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S", &parts);
    return text.data();
}

std::string plain_kind(const std::string &kind) {
    constexpr std::array<std::array<const char *, 2>, 15> names{{
        {"change_table", "table edited"},
        {"change_routes", "routes edited"},
        {"register_target", "target joined"},
        {"expire_targets", "targets lost"},
        {"drain_target", "planned stop begun"},
        {"retire_target", "planned stop finished"},
        {"grant_ranges", "keys given to an owner"},
        {"plan_moves", "move of keys planned"},
        {"release_range", "keys handed over"},
        {"split_range", "range cut"},
        {"merge_range", "ranges joined"},
        {"set_standby", "standby chosen"},
        {"restore_memory", "remembered requests complete"},
        {"report_crash", "target ended under requests"},
        {"clear_suspects", "suspect requests cleared"},
    }};
    for (const auto &name : names) {
        if (kind == name[0]) {
            return name[1];
        }
    }
    return kind;
}

void write_table_in_force(const std::vector<audit_record> &records, std::ostringstream &out) {
    for (auto record = records.rbegin(); record != records.rend(); ++record) {
        constexpr std::string_view prefix = "version ";
        if (record->kind == "change_table" &&
            record->after.compare(0, prefix.size(), prefix) == 0) {
            out << "<h2>Table in force</h2><p>Set by " << escaped(record->actor) << " at "
                << time_text(record->wall_ms) << " UTC.</p><pre>" << escaped(record->after)
                << "</pre>\n";
            return;
        }
    }
    out << "<h2>Table in force</h2><p>None yet.</p>\n";
}

} // namespace

std::string audit_report(const std::vector<audit_record> &records) {
    std::ostringstream out;
    const chain_report chain = verify_chain(records);
    out << page_head << "<h1>Decisions of peppertack</h1>\n<p>" << records.size()
        << " records. <span class=\"" << (chain.intact ? "whole" : "broken") << "\">"
        << (chain.intact ? "Each one proves the one before it; none was changed or removed."
                         : "The chain of records is broken:")
        << "</span></p>\n";
    for (const std::string &fault : chain.faults) {
        out << "<p class=\"broken\">" << escaped(fault) << "</p>\n";
    }
    write_table_in_force(records, out);
    out << "<h2>Every decision, newest first</h2>\n<table><tr><th>No.</th><th>Time (UTC)</th>"
           "<th>What</th><th>About</th><th>Who</th><th>Why</th><th>Before</th><th>After</th></"
           "tr>\n";
    for (auto record = records.rbegin(); record != records.rend(); ++record) {
        out << "<tr><td>" << record->sequence << "</td><td>" << time_text(record->wall_ms)
            << "</td>" << cell(plain_kind(record->kind)) << cell(record->subject)
            << cell(record->actor) << cell(record->cause) << cell(record->before)
            << cell(record->after) << "</tr>\n";
    }
    out << "</table></body></html>\n";
    return out.str();
}

} // namespace peppertack
