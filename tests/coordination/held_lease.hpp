#pragma once

#include "peppertack/coordination/hold_manager.hpp"
#include "peppertack/coordination/lease_client.hpp"
#include "peppertack/state/key_hash.hpp"

#include <vector>

namespace peppertack::testing {

/// The lease of a node whose target has number 7 and owns keys of service "s". The test acts as the
/// leader: it renews the lease and sets the ranges.
class held_lease {
public:
    static constexpr target_number own = 7;
    static constexpr target_number other = 8;

    explicit held_lease(instant now) : client(options()) {
        client.announce({.name = "t", .service = "s"}, {now, 0});
        renew(now); // the first answer registers the target, the second carries the lease
        renew(now + std::chrono::milliseconds(10));
    }

    /// Sends a renewal and answers it at once.
    void renew(instant now) {
        std::vector<outgoing> sent;
        client.renew_at_next_tick();
        client.tick(
            {now, 0}, [](renew_request &, instant) {}, sent);
        if (sent.empty()) {
            return;
        }
        client.receive("v:1",
                       renew_reply{.sequence = std::get<renew_request>(sent.back().body).sequence,
                                   .is_leader = true,
                                   .number = own,
                                   .lease = options().lease.length,
                                   .map = {.from = m_version, .to = m_version}},
                       {now, 0});
    }

    /// Replaces all ranges of the service.
    void set_ranges(const std::vector<range_record> &ranges) {
        map_update update{.from = m_version, .to = m_version + 1, .as_of = m_version + 1};
        update.targets = {{.number = own, .name = "t", .service = "s"},
                          {.number = other, .name = "u", .service = "s"}};
        update.services = {{.service = "s", .whole = true, .ranges = ranges}};
        client.receive(update);
        ++m_version;
    }

    /// What the next renewal would report as released.
    std::vector<range_report> released(const hold_manager &manager) const {
        renew_request request;
        manager.fill_report(request, client);
        return request.released;
    }

    static const node_options &options() {
        static const node_options value = [] {
            node_options made;
            made.self = "n:1";
            made.voters = {"v:1"};
            made.lease.length = std::chrono::milliseconds(2400);
            made.announce_timeout = std::chrono::hours(24);
            return made;
        }();
        return value;
    }

private:
    std::uint64_t m_version = 0;

public:
    lease_client client;
};

} // namespace peppertack::testing
