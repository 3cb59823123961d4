#pragma once

#include "peppertack/state/time.hpp"

#include <compare>
#include <map>
#include <string>

namespace peppertack {

/// What a queue has done of late for each kind of request, fading over two seconds.
///
/// It answers a target that can't do all it is asked for by kinds of the same priority. By the
/// earliest objective alone the one with the shortest objective is served whole and the other
/// starves: at three times the capacity 99 in 100 of the short requests were served and 1 in 100 of
/// the long ones; now 43 and 33 (virtual time). Not thread safe.
class recent_service {
public:
    struct request_kind {
        /// Made by a caller, not a nested call, which goes before all else.
        bool direct = true;
        /// Its objective had passed when it came: its caller was refused before. What can still be
        /// in time goes first, whatever its priority.
        bool late = false;
        int priority = 0; ///< 0 is the most urgent
        std::string name; ///< a table may give it another priority while its requests wait

        auto operator<=>(const request_kind &) const = default;
    };

    /// A request of `kind` came.
    void note_asked(const request_kind &kind, instant now);
    /// A request of `kind` that came was refused, at once or after a wait.
    void note_refused(const request_kind &kind, instant now);
    /// A request of `kind` was taken, which usually keeps a slot for `work`.
    void note_taken(const request_kind &kind, duration work, instant now);

    /// Whether `kind` was served a clearly larger part of what it asked for than another kind of
    /// the same priority.
    bool over_served(const request_kind &kind, instant now) const;
    /// Slots that are kept busy by kinds that go before `kind`: those in time if it is late, more
    /// urgent ones, and where it is over_served those of its priority that are not.
    double slots_before(const request_kind &kind, instant now) const;

private:
    /// A sum that fades.
    struct fading {
        double sum = 0;
        instant at{};
        double at_time(instant now) const;
        void add(double amount, instant now);
    };
    struct record {
        fading asked;
        fading refused;
        fading work; ///< microseconds
    };

    static double part_served(const record &kind, instant now);
    double least_part_served(const request_kind &peer, instant now) const;

    std::map<request_kind, record> m_kinds;
};

} // namespace peppertack
