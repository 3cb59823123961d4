#include "deployment.hpp"

#include <csignal>

using namespace review;

namespace {

constexpr std::size_t place = 0; ///< whose process is started again and whose server leaves
constexpr ms restart_pause(300); ///< of the platform, between the end of a process and its start
/// A stop takes 1.85 s: the last heartbeat that the old process answers comes 0.35 s before its
/// end.
constexpr ms before_stop(300);
constexpr ms grace(6000);
constexpr ms long_work(1300);
constexpr ms deadline(1500);

} // namespace

// The process beside a server is stopped and started again by the platform; the server lives on.
// Before its next heartbeat the server is planned to leave, and says so by DELETE.
int main(int count, char **words) {
    options settings = options_from(count, words);
    settings.services.assign(8, "keyed");
    settings.services.insert(settings.services.end(), {"plain", "plain"});
    deployment played(settings);
    if (!played.bring_up()) {
        return verdict(played, false);
    }
    played.run_for(ms(4000));
    server &leaving = played.server_at(place);
    const std::uint64_t beats = leaving.acknowledged();
    if (!played.run_until([&] { return leaving.acknowledged() > beats; }, ms(4000))) {
        return verdict(played, false);
    }
    played.note(leaving.id() + " was just answered a heartbeat");
    if (with_trouble()) {
        played.run_for(before_stop);
        played.signal_node(place, SIGTERM);
        if (!played.run_until([&] { return played.node_ended(place); }, grace)) {
            return verdict(played, false);
        }
        played.run_for(restart_pause);
        played.start_node(place);
    }
    const std::uint64_t told_before = leaving.acknowledged();
    if (!played.run_until([&] { return played.node_ready(place); }, ms(1000))) {
        return verdict(played, false);
    }
    played.run_for(ms(100));
    if (leaving.holds().empty() || leaving.acknowledged() > told_before) {
        return verdict(played, false);
    }
    const std::uint32_t key = leaving.holds().front().from;
    const auto sent = played.send(place, "keyed", true, key, long_work, deadline);
    if (!played.run_until([&] { return leaving.at_work(sent->id); }, ms(500))) {
        return verdict(played, false);
    }
    leaving.leave();
    played.run_for(ms(5000));
    return verdict(played, leaving.leave_acknowledged());
}
