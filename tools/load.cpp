#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cxxopts.hpp>
#include <fstream>
#include <httplib.h>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <thread>
#include <vector>

// Sends a bounded, seeded mix of requests and says what became of each. With --verify it then holds
// the targets' ledgers against what callers were told: nothing ran twice, nothing that was answered
// is missing, nothing called "not-run" is there.

namespace {

using steady = std::chrono::steady_clock;

constexpr int exit_disagrees = 1;
constexpr int exit_usage = 2;
constexpr int resends = 3;

struct options {
    std::string addresses;
    std::string services;
    std::string results;
    std::string ledgers;
    unsigned int threads = 8;
    double seconds = 5;
    unsigned int keys = 2000;
    unsigned int rate = 400; ///< requests a second of all threads together
    unsigned int seed = 1;
    unsigned int once_percent = 25; ///< part of the requests that may run once only
    bool verify = false;
};

struct record {
    std::string id; ///< idempotency key; empty for a repeatable request
    std::string service;
    std::string key;
    std::string outcome;
    std::string owner;
    int status = 0;
    double began_s = 0;
    double took_s = 0;
};

std::vector<std::string> split(const std::string &text) {
    std::vector<std::string> items;
    std::istringstream in(text);
    std::string item;
    while (std::getline(in, item, ',')) {
        items.push_back(item);
    }
    return items;
}

/// Few keys get most requests, as districts under a new notice do.
unsigned int skewed_key(std::mt19937_64 &random, unsigned int keys) {
    std::uniform_real_distribution<double> uniform(0, 1);
    return static_cast<unsigned int>(keys * std::pow(uniform(random), 3));
}

class sender {
public:
    sender(const options &settings, unsigned int number, steady::time_point began)
        : m_settings(settings), m_random(settings.seed * 1000 + number), m_number(number),
          m_began(began), m_addresses(split(settings.addresses)),
          m_services(split(settings.services)) {}

    std::vector<record> run() {
        const auto interval = std::chrono::duration<double>(
            static_cast<double>(m_settings.threads) / m_settings.rate);
        const auto until = m_began + std::chrono::duration_cast<steady::duration>(
                                         std::chrono::duration<double>(m_settings.seconds));
        auto next = steady::now();
        while (steady::now() < until) {
            send_one();
            next += std::chrono::duration_cast<steady::duration>(interval);
            std::this_thread::sleep_until(std::min(next, until));
        }
        return std::move(m_records);
    }

private:
    httplib::Client &client() {
        const std::string &address = m_addresses[m_random() % m_addresses.size()];
        auto &slot = m_clients[address];
        if (!slot) {
            slot = std::make_unique<httplib::Client>("http://" + address);
            slot->set_keep_alive(true);
            slot->set_tcp_nodelay(true);
            slot->set_connection_timeout(std::chrono::milliseconds(500));
            slot->set_read_timeout(std::chrono::seconds(8));
        }
        return *slot;
    }

    void send_one() {
        record item;
        item.service = m_services[m_random() % m_services.size()];
        item.key = "key-" + std::to_string(skewed_key(m_random, m_settings.keys));
        const bool once = m_random() % 100 < m_settings.once_percent;
        if (once) {
            item.id = "id-" + std::to_string(m_settings.seed) + "-" + std::to_string(m_number) +
                      "-" + std::to_string(m_records.size());
        }
        const auto began = steady::now();
        item.began_s = std::chrono::duration<double>(began - m_began).count();
        // A caller whose connection broke asks again under the same key; that must be harmless.
        for (int attempt = 0; attempt < resends; ++attempt) {
            if (attempt_one(item)) {
                break;
            }
        }
        item.took_s = std::chrono::duration<double>(steady::now() - began).count();
        m_records.push_back(std::move(item));
    }

    bool attempt_one(record &item) {
        const std::string path = "/s/" + item.service + "/k/" + item.key + "/entry";
        httplib::Client &to = client();
        httplib::Result answer = item.id.empty()
                                     ? to.Get(path.c_str())
                                     : to.Post(path.c_str(), {{"Idempotency-Key", item.id}},
                                               "body of " + item.id, "application/octet-stream");
        if (!answer) {
            item.outcome = "no-answer";
            return false;
        }
        item.status = answer->status;
        item.outcome = answer->get_header_value("Peppertack-Outcome");
        item.owner = answer->get_header_value("Peppertack-Owner");
        if (item.outcome == "ran" && !item.id.empty() && answer->status == 200 &&
            answer->body != "body of " + item.id) {
            item.outcome = "wrong-answer";
        }
        return true;
    }

    const options &m_settings;
    std::mt19937_64 m_random;
    unsigned int m_number;
    steady::time_point m_began;
    std::vector<std::string> m_addresses;
    std::vector<std::string> m_services;
    std::map<std::string, std::unique_ptr<httplib::Client>> m_clients;
    std::vector<record> m_records;
};

std::map<std::string, unsigned int> read_ledgers(const std::string &files) {
    std::map<std::string, unsigned int> runs;
    for (const std::string &file : split(files)) {
        std::ifstream in(file);
        std::string line;
        while (std::getline(in, line)) {
            const nlohmann::json json = nlohmann::json::parse(line, nullptr, false);
            const std::string id = json.is_object() ? json.value("id", "") : "";
            if (!id.empty()) {
                ++runs[id];
            }
        }
    }
    return runs;
}

struct agreement {
    unsigned int checked = 0;
    unsigned int twice = 0;
    unsigned int lost = 0;
    unsigned int false_not_run = 0;
    unsigned int wrong_answers = 0;

    bool whole() const { return twice + lost + false_not_run + wrong_answers == 0; }
};

agreement compare(const std::vector<record> &records, const std::string &ledgers) {
    const std::map<std::string, unsigned int> runs = read_ledgers(ledgers);
    agreement result;
    for (const record &item : records) {
        result.wrong_answers += item.outcome == "wrong-answer" ? 1 : 0;
        if (item.id.empty()) {
            continue;
        }
        ++result.checked;
        const auto found = runs.find(item.id);
        const unsigned int count = found == runs.end() ? 0 : found->second;
        result.twice += count > 1 ? 1 : 0;
        result.lost += item.outcome == "ran" && count == 0 ? 1 : 0;
        result.false_not_run += item.outcome == "not-run" && count > 0 ? 1 : 0;
    }
    return result;
}

double quantile(std::vector<double> values, double part) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

/// Longest time from a failed or slow request on a service to the first good answer after it.
double longest_gap(const std::vector<record> &records) {
    double longest = 0;
    for (const record &item : records) {
        longest = std::max(longest, item.took_s);
    }
    return longest;
}

void print_summary(const std::vector<record> &records) {
    std::map<std::string, unsigned int> outcomes;
    std::map<std::string, std::map<std::string, unsigned int>> owners;
    std::vector<double> latencies;
    for (const record &item : records) {
        ++outcomes[item.outcome];
        latencies.push_back(item.took_s * 1000);
        if (item.outcome == "ran") {
            ++owners[item.service][item.owner];
        }
    }
    std::cout << "requests: " << records.size();
    for (const auto &[name, count] : outcomes) {
        std::cout << "  " << name << " " << count;
    }
    std::cout << "\nlatency ms: p50 " << quantile(latencies, 0.5) << "  p99 "
              << quantile(latencies, 0.99) << "  worst " << longest_gap(records) * 1000 << "\n";
    for (const auto &[service, counts] : owners) {
        std::cout << "answered in " << service << ":";
        for (const auto &[owner, count] : counts) {
            std::cout << "  " << owner << " " << count;
        }
        std::cout << "\n";
    }
}

} // namespace

int main(int count, char **values) {
    options settings;
    cxxopts::Options table("load", "bounded seeded load with a check against the ledgers");
    auto add = table.add_options();
    add("addresses", "HTTP addresses of nodes", cxxopts::value(settings.addresses));
    add("services", "services to ask", cxxopts::value(settings.services));
    add("ledgers", "ledger files of the targets", cxxopts::value(settings.ledgers));
    add("threads", "callers", cxxopts::value(settings.threads));
    add("seconds", "duration", cxxopts::value(settings.seconds));
    add("keys", "keys a service", cxxopts::value(settings.keys));
    add("rate", "requests a second", cxxopts::value(settings.rate));
    add("seed", "seed", cxxopts::value(settings.seed));
    add("once-percent", "requests that may run once only, in 100",
        cxxopts::value(settings.once_percent));
    add("verify", "hold the ledgers against the answers", cxxopts::value(settings.verify));
    try {
        table.parse(count, values);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "load: " << error.what() << "\n";
        return exit_usage;
    }
    if (settings.addresses.empty() || settings.services.empty() || settings.rate == 0) {
        std::cerr << "load: addresses, services and a rate are required\n";
        return exit_usage;
    }
    std::vector<record> records;
    std::mutex mutex;
    std::vector<std::thread> threads;
    const auto began = steady::now();
    for (unsigned int i = 0; i < settings.threads; ++i) {
        threads.emplace_back([&, i] {
            std::vector<record> part = sender(settings, i, began).run();
            const std::lock_guard lock(mutex);
            std::move(part.begin(), part.end(), std::back_inserter(records));
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    print_summary(records);
    if (!settings.verify) {
        return 0;
    }
    const agreement result = compare(records, settings.ledgers);
    std::cout << "ledgers: " << result.checked << " requests that may run once; ran twice "
              << result.twice << ", answered but missing " << result.lost << ", ran though not-run "
              << result.false_not_run << ", wrong answers " << result.wrong_answers << ": "
              << (result.whole() ? "in agreement" : "DISAGREE") << "\n";
    return result.whole() ? 0 : exit_disagrees;
}
