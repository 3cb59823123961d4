#include "peppertack/transport/voter_identity.hpp"

#include "peppertack/coordination/voter_roster.hpp"
#include "peppertack/state/posix_storage.hpp"
#include "wall_clock.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peppertack {

namespace {

constexpr const char *identity_file = "identity";
/// All founders know each other's names before any of them has started. Only the first start of the
/// whole system makes founders, so no process that lost its disk later takes this name again.
constexpr const char *founder_number = "founder";

node_address founder_name(const node_address &address) {
    return address + identity_separator + founder_number;
}

voter_identity make_identity(const daemon_settings &settings) {
    const std::vector<node_address> &seeds = settings.voters;
    const bool founder = settings.founding && std::find(seeds.begin(), seeds.end(),
                                                        settings.peer_address) != seeds.end();
    voter_identity identity;
    if (!founder) {
        identity.name =
            settings.peer_address + identity_separator + std::to_string(random_number());
        return identity;
    }
    identity.name = founder_name(settings.peer_address);
    std::transform(seeds.begin(), seeds.end(), std::back_inserter(identity.founders), founder_name);
    return identity;
}

} // namespace

std::optional<voter_identity> load_identity(const daemon_settings &settings, std::string &reason) {
    if (settings.data_folder.empty() || settings.losses == 0) {
        return voter_identity{.name = settings.peer_address};
    }
    const std::unique_ptr<posix_storage> files = posix_storage::make(settings.data_folder, reason);
    if (!files) {
        return std::nullopt;
    }
    if (const std::optional<std::string> text = files->read(identity_file)) {
        try {
            const nlohmann::json json = nlohmann::json::parse(*text);
            return voter_identity{.name = json.at("name").get<std::string>(),
                                  .founders = json.at("founders").get<std::vector<std::string>>()};
        } catch (const nlohmann::json::exception &error) {
            reason = std::string("file identity: ") + error.what();
            return std::nullopt;
        }
    }
    // An identity that is there and can't be read for now is kept: under a new one this voter
    // would be a stranger beside the promises in its own log.
    const std::optional<std::vector<std::string>> names = files->list();
    if (!names || std::binary_search(names->begin(), names->end(), identity_file)) {
        reason = "file identity can't be read: " + files->last_reason();
        return std::nullopt;
    }
    voter_identity identity = make_identity(settings);
    const nlohmann::json json{{"name", identity.name}, {"founders", identity.founders}};
    identity.unstored = stored_file{.name = identity_file, .bytes = json.dump()};
    return identity;
}

} // namespace peppertack
