#pragma once

#include "net.hpp"

#include <fstream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

/// Whether the case runs with its disruption: not with TROUBLE=0.
bool with_trouble();

/// A configuration with one route to one service, which is divided by key and takes its keys by
/// calls.
nlohmann::json sharded_config();

/// Writes what was sent, answered and run, a line each, with seconds since the start. Thread safe.
class record {
public:
    explicit record(const std::string &path) : m_out(path), m_begun(clock_type::now()) {}
    void note(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    instant m_begun;
};

/// The processes of a small deployment on loopback addresses of its own: five voters and a node
/// beside each server, with the commands of the deploy file and settings from the template. All of
/// them end with this object.
class deployment {
public:
    struct options {
        std::string grants = "heartbeat"; ///< how keys are handed to servers
        double heartbeat_s = 0.87;
    };

    /// `services`: that of each machine with a server.
    deployment(std::vector<std::string> services, options settings);
    ~deployment();
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    /// False if a port can't be had or a process can't be started.
    bool start();
    /// Sends a configuration until it is acknowledged.
    bool configure(const nlohmann::json &config);
    /// Whether all processes still run.
    bool all_run() const;

    std::size_t machines() const { return m_services.size(); }
    const std::string &service(std::size_t machine) const { return m_services[machine]; }
    endpoint outbound(std::size_t machine) const { return {node_ip(machine), m_ports.at("out")}; }
    endpoint control(std::size_t machine) const { return {node_ip(machine), m_ports.at("ctl")}; }
    endpoint app(std::size_t machine) const { return {node_ip(machine), m_ports.at("app")}; }
    std::string zone(std::size_t machine) const { return "zone-" + std::to_string(machine % 3); }
    const options &settings() const { return m_options; }

private:
    std::string voter_ip(std::size_t place) const;
    std::string node_ip(std::size_t machine) const;
    std::string settings_of(const std::string &ip, const std::string &zone,
                            const std::string &service, const std::string &data) const;
    bool choose_ports();
    bool spawn(const std::string &role, const std::string &name, const std::string &settings);

    std::vector<std::string> m_services;
    options m_options;
    std::string m_folder;
    std::map<std::string, int> m_ports;
    std::vector<pid_t> m_processes;
};

} // namespace review
