#include "child_process.hpp"
#include "local_cluster.hpp"

#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

std::string node_settings() {
    const auto at = [] { return "127.0.0.1:" + std::to_string(free_port()); };
    return "peer-address = " + at() + "\nmetrics-address = " + at() + "\nfailure-domain = z" +
           "\nservice = plain\ntarget-address = " + at() + "\ncaller-address = " + at() +
           "\nnode-address = " + at() + "\nready-address = " + at() +
           "\ncontrol-address = " + at() + "\nseeds = " + at() +
           "\nfounding = false\nlosses = 0\nheartbeat-interval-s = 1" +
           "\nmost-hold-s = 10\ngrace-s = 6\n";
}

/// A node that waits for its settings, which come through a pipe, while it starts.
class starting_node {
public:
    starting_node()
        : m_folder(std::filesystem::temp_directory_path() /
                   ("peppertack-start-" + std::to_string(::getpid()))),
          m_path(m_folder / "settings"), m_log(m_folder / "log"), m_settings(node_settings()) {
        std::filesystem::create_directories(m_folder);
        REQUIRE(::mkfifo(m_path.c_str(), 0600) == 0);
        m_process =
            start_child({.words = {PEPPERTACK_PROGRAMS "/peppertack_platform", "beside-target"},
                         .log_file = m_log,
                         .environment = {"PEPPERTACK_BOOT=" + m_path.string()}});
        m_pipe = ::open(m_path.c_str(), O_WRONLY); // returns once the node reads
        REQUIRE(m_pipe >= 0);
    }
    ~starting_node() {
        if (m_process > 0) {
            ::kill(m_process, SIGKILL);
            ::waitpid(m_process, nullptr, 0);
        }
        ::close(m_pipe);
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }
    starting_node(const starting_node &) = delete;
    starting_node &operator=(const starting_node &) = delete;

    void signal(int number) const { ::kill(m_process, number); }
    /// Lets the node go on. What it reads later comes from a usual file.
    void give_settings() {
        std::filesystem::remove(m_path);
        std::ofstream(m_path) << m_settings;
        REQUIRE(::write(m_pipe, m_settings.data(), m_settings.size()) ==
                static_cast<ssize_t>(m_settings.size()));
        ::close(m_pipe);
        m_pipe = -1;
    }
    bool logs(const std::string &event) const {
        std::ifstream in(m_log);
        const std::string text{std::istreambuf_iterator<char>(in), {}};
        return text.find("\"event\":\"" + event + "\"") != std::string::npos;
    }
    /// Waits for the end of the process: its exit status, -1 if a signal ended it.
    int wait_for_end() {
        int status = 0;
        ::waitpid(m_process, &status, 0);
        m_process = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    bool wait_for(const std::string &event) {
        for (int i = 0; i < 2000 && !logs(event); ++i) {
            if (::waitpid(m_process, nullptr, WNOHANG) != 0) {
                m_process = -1;
                return false;
            }
            std::this_thread::sleep_for(10ms);
        }
        return logs(event);
    }

private:
    std::filesystem::path m_folder;
    std::filesystem::path m_path;
    std::filesystem::path m_log;
    std::string m_settings;
    pid_t m_process = -1;
    int m_pipe = -1;
};

} // namespace

// Guards against a process that is ended by news of its settings, as the signal's default is.
TEST_CASE("a node is told of new settings while it starts") {
    starting_node node;
    node.signal(SIGHUP);
    node.give_settings();
    CHECK(node.wait_for("settings_reloaded"));
}

// Guards against a process that dies without finishing what callers have sent it meanwhile.
TEST_CASE("a node is told to stop while it starts") {
    starting_node node;
    node.signal(SIGTERM);
    node.give_settings();
    CHECK(node.wait_for("stop_begun"));
    CHECK(node.wait_for_end() == 0);
}
