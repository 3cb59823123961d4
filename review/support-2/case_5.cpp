#include "deployment.hpp"

#include <algorithm>

using namespace review;

namespace {

constexpr std::size_t bundles = 8; ///< servers of the first service
constexpr std::size_t entry = 9;   ///< machine whose clients these are
constexpr std::size_t clients = 9; ///< more than servers of the first service
constexpr std::size_t behind = 3;  ///< requests that a client sends before the first is answered
constexpr ms deadline(5000);

struct pipeline {
    std::shared_ptr<raw_client> client;
    std::vector<std::string> ids;
};

bool is_run(deployment &played, const std::string &id) {
    for (std::size_t place = 0; place < played.machines(); ++place) {
        if (played.server_at(place).has_run(id)) {
            return true;
        }
    }
    return false;
}

server &busiest(deployment &played) {
    std::size_t best = 0;
    for (std::size_t place = 1; place < bundles; ++place) {
        if (played.server_at(place).answers_under_way() >
            played.server_at(best).answers_under_way()) {
            best = place;
        }
    }
    return played.server_at(best);
}

} // namespace

// Clients send safe requests behind a download that is not answered yet. One of the eight servers
// of the downloads crashes while it answers; those of the requests behind are sound.
int main(int count, char **words) {
    options settings = options_from(count, words);
    settings.services.assign(bundles, "plain");
    settings.services.insert(settings.services.end(), {"other", "other", "other", "other"});
    settings.timeout_s = 6;
    settings.slots = 18;
    deployment played(settings);
    if (!played.bring_up()) {
        return verdict(played, false);
    }
    played.run_for(ms(4000));
    std::vector<pipeline> all(clients);
    for (pipeline &item : all) {
        item.client =
            std::make_shared<raw_client>(played.io(), played.node_address(entry, "callers"));
        item.client->write(played.request_bytes("other", "safe", "/a/1", deadline).first);
        item.client->read(true);
    }
    const auto served_once = [](const pipeline &item) {
        return item.client->answers().size() == 1;
    };
    if (!played.run_until([&] { return std::all_of(all.begin(), all.end(), served_once); },
                          ms(3000))) {
        return verdict(played, false);
    }
    for (pipeline &item : all) {
        std::string bytes;
        for (std::size_t i = 0; i <= behind; ++i) {
            const auto made =
                i == 0 ? played.request_bytes("plain", "download", "/a/large/400000", deadline)
                       : played.request_bytes("other", "safe", "/a/700", deadline);
            bytes += made.first;
            item.ids.push_back(made.second);
        }
        played.note("a client sends " + item.ids.front() + " and, behind it, " +
                    std::to_string(behind) + " more");
        item.client->write(bytes);
    }
    played.run_for(ms(200));
    if (with_trouble()) {
        busiest(played).crash();
    }
    const auto over = [](const pipeline &item) {
        return item.client->ended() || item.client->answers().size() == behind + 2;
    };
    if (!played.run_until([&] { return std::all_of(all.begin(), all.end(), over); }, deadline)) {
        return verdict(played, false);
    }
    std::size_t lost = 0;
    for (const pipeline &item : all) {
        const auto answers = item.client->answers();
        for (std::size_t i = 0; i < item.ids.size(); ++i) {
            const auto answer =
                std::find_if(answers.begin(), answers.end(),
                             [&](const raw_answer &known) { return known.id == item.ids[i]; });
            const bool answered = answer != answers.end() && answer->whole;
            const bool passed_on = is_run(played, item.ids[i]);
            if (answered) {
                continue;
            }
            played.note(item.ids[i] + (i == 0 ? "" : ", sent behind another,") +
                        (passed_on ? " was passed on to a server" : " was not passed on") +
                        " and has no whole answer");
            lost += i > 0 && passed_on ? 1 : 0;
        }
    }
    if (lost > 3) {
        played.violate("LOST: " + std::to_string(lost) +
                       " requests of kept connections were passed on to sound servers and the "
                       "connections were closed without an answer");
    }
    return verdict(played, true);
}
