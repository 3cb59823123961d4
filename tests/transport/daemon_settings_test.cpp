#include "peppertack/transport/audit_report.hpp"
#include "peppertack/transport/daemon_settings.hpp"

#include <algorithm>
#include <cstdlib>
#include <doctest/doctest.h>

using namespace peppertack;

namespace {

struct outcome_of_reading {
    std::optional<daemon_settings> settings;
    settings_action action = settings_action::run;
    std::string text;
    std::vector<settings_problem> problems;
};

outcome_of_reading read(std::vector<const char *> words) {
    words.insert(words.begin(), "peppertackd");
    outcome_of_reading out;
    out.settings = read_settings(static_cast<int>(words.size()), words.data(), out.action, out.text,
                                 out.problems);
    return out;
}

std::vector<const char *> valid_words() {
    return {"--peer-address",   "127.0.0.1:7000", "--http-address",   "127.0.0.1:7001",
            "--voters",         "127.0.0.1:7000", "--failure-domain", "lima-a",
            "--cluster-secret", "long-enough"};
}

} // namespace

TEST_CASE("flags win over the environment, and both over defaults") {
    setenv("PEPPERTACK_LEASE_MS", "1200", 1);
    setenv("PEPPERTACK_RENEW_MS", "300", 1);
    std::vector<const char *> words = valid_words();
    words.insert(words.end(), {"--renew-ms", "250"});
    const outcome_of_reading out = read(words);
    unsetenv("PEPPERTACK_LEASE_MS");
    unsetenv("PEPPERTACK_RENEW_MS");
    REQUIRE(out.settings);
    CHECK(out.settings->lease == std::chrono::milliseconds(1200));
    CHECK(out.settings->renew_interval == std::chrono::milliseconds(250));
    CHECK(out.settings->data_folder.empty());
}

TEST_CASE("every wrong setting is named with its value and what is allowed") {
    const outcome_of_reading out =
        read({"--peer-address", "nowhere", "--http-address", "127.0.0.1:70000", "--voters", "a,b",
              "--cluster-secret", "short", "--lease-ms", "12x", "--log-level", "loud"});
    CHECK_FALSE(out.settings);
    const auto named = [&](const std::string &setting) {
        return std::any_of(out.problems.begin(), out.problems.end(),
                           [&](const settings_problem &p) { return p.setting == setting; });
    };
    for (const char *setting : {"peer-address", "http-address", "voters", "cluster-secret",
                                "lease-ms", "log-level", "failure-domain"}) {
        CHECK_MESSAGE(named(setting), setting);
    }
}

TEST_CASE("settings that don't fit each other") {
    std::vector<const char *> words = valid_words();
    words.insert(words.end(), {"--lease-ms", "500", "--renew-ms", "200"});
    const outcome_of_reading out = read(words);
    REQUIRE(out.problems.size() == 1);
    CHECK(out.problems[0].setting == "renew-ms");
}

TEST_CASE("check, help and version") {
    std::vector<const char *> words = valid_words();
    words.push_back("--check");
    CHECK(read(words).action == settings_action::check);
    CHECK(read({"--help"}).text.find("--cluster-secret") != std::string::npos);
    CHECK(read({"--version"}).text.find("peppertackd ") == 0);
    CHECK(read({"--no-such-flag"}).problems.size() == 1);
}

TEST_CASE("the report for people shows the table in force and escapes what it shows") {
    audit_record record{
        .sequence = 1, .kind = "change_table", .actor = "<b>", .after = "version 3\nx"};
    record.hash = audit_hash(record);
    const std::string page = audit_report({record});
    CHECK(page.find("&lt;b&gt;") != std::string::npos);
    CHECK(page.find("version 3") != std::string::npos);
    CHECK(page.find("<script") == std::string::npos);
    record.actor = "changed";
    CHECK(audit_report({record}).find("broken") != std::string::npos);
}
