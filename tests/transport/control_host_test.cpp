#include "peppertack/transport/control_host.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

/// Files of this process take no more bytes while this lives, as on a full disk.
class full_disk {
public:
    full_disk() {
        m_handler = std::signal(SIGXFSZ, SIG_IGN);
        ::getrlimit(RLIMIT_FSIZE, &m_before);
        const rlimit none{.rlim_cur = 0, .rlim_max = m_before.rlim_max};
        ::setrlimit(RLIMIT_FSIZE, &none);
    }
    ~full_disk() {
        ::setrlimit(RLIMIT_FSIZE, &m_before);
        std::signal(SIGXFSZ, m_handler);
    }
    full_disk(const full_disk &) = delete;
    full_disk &operator=(const full_disk &) = delete;

private:
    rlimit m_before{};
    void (*m_handler)(int) = nullptr;
};

/// A data folder that is gone with the test.
struct data_folder {
    std::string path = std::filesystem::temp_directory_path() /
                       ("peppertack-control-host-" + std::to_string(::getpid()));
    ~data_folder() { std::filesystem::remove_all(path); }
};

template <class Condition> bool comes_true(Condition condition) {
    constexpr auto limit = 20s;
    for (const auto until = std::chrono::steady_clock::now() + limit;
         std::chrono::steady_clock::now() < until; std::this_thread::sleep_for(5ms)) {
        if (condition()) {
            return true;
        }
    }
    return false;
}

command table_named(const std::string &change_id, std::uint64_t base) {
    return {0, "operator", "edited",
            change_table{change_id, base,
                         "service,failure_domain,weight,max_in_flight,max_connections,max_queue\n"
                         "avisos,zone-0,1,4,8,50\n"}};
}

} // namespace

TEST_CASE("a voter on a real disk that was full leads again in the same process") {
    // The process went on for hours with its voter `failed`, since its log refused every write
    // after the first that the disk had refused, and only another process opened it anew.
    const data_folder folder;
    const daemon_settings settings{.peer_address = "127.0.0.1:1",
                                   .voters = {"127.0.0.1:1"},
                                   .data_folder = folder.path,
                                   .lease = 500ms,
                                   .heartbeat = 20ms,
                                   .election_timeout = 100ms,
                                   .renew_interval = 100ms,
                                   .audit_segments = 10};
    std::string reason;
    const auto host = control_host::make(
        settings, {.name = settings.peer_address}, [](const outgoing &) {}, reason);
    REQUIRE_MESSAGE(host, reason);
    host->start();
    REQUIRE(comes_true([&] { return host->leads(); }));
    const auto kept = host->submit(table_named("kept", 0), 10s);
    REQUIRE(kept);
    REQUIRE(kept->error == error_kind::none);
    std::optional<submit_answer> lost;
    bool failed = false;
    bool stayed = false;
    {
        // Nothing is checked in here: a report could not be written to a file either.
        const full_disk full;
        lost = host->submit(table_named("lost", kept->change->version), 10s);
        failed = comes_true([&] { return host->dump()["role"] == "failed"; });
        std::this_thread::sleep_for(500ms); // some tries, which must not do harm
        stayed = host->dump()["role"] == "failed";
    }
    CHECK(failed);
    CHECK(stayed);
    REQUIRE(lost);
    CHECK(lost->error == error_kind::not_leader);
    CHECK_FALSE(lost->certain);
    REQUIRE(comes_true([&] { return host->leads(); }));
    const auto view = host->table_view();
    REQUIRE(view);
    const std::string held = view->at("change_id");
    CHECK((held == "kept" || held == "lost")); // it had no clear answer
    const auto after = host->submit(table_named("after", view->at("version")), 10s);
    REQUIRE(after);
    CHECK(after->error == error_kind::none);
}
