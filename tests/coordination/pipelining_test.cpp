#include "peppertack/coordination/pipelining.hpp"

#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace peppertack;

namespace {

using verdict = pipelining_policy::verdict;
using kind = pipelining_policy::request_kind;

const pipelining_policy policy({.max_concurrent = 3});

} // namespace

// Guards against the sum of all times as the time of the last of several pipelined reads.
TEST_CASE("idempotent requests of one connection overlap up to a bound") {
    held_answer_budget budget({.limit = 1000, .reserve = 100});
    for (std::size_t in_progress : {0U, 1U, 2U}) {
        const pipelining_policy::connection_state now{.in_progress = in_progress};
        CHECK(policy.may_read(now, budget));
        CHECK(policy.judge(now, kind::idempotent) == verdict::start);
    }
    CHECK_FALSE(policy.may_read({.in_progress = 3}, budget));
}

// Guards against a request that takes effect once being run and then sent again, since an earlier
// answer ended its connection.
TEST_CASE("a request that takes effect once is started only when all before it are answered") {
    held_answer_budget budget({});
    CHECK(policy.judge({.in_progress = 0}, kind::exclusive) == verdict::start);
    CHECK(policy.judge({.in_progress = 1}, kind::exclusive) == verdict::wait);
    CHECK_FALSE(policy.may_read({.in_progress = 1, .all_idempotent = false}, budget));
}

// Guards against work of targets that is lost when an answer before it breaks off.
TEST_CASE("nothing is started behind an answer that is sent before it is whole") {
    held_answer_budget budget({});
    const pipelining_policy::connection_state now{.in_progress = 1, .all_replaceable = false};
    CHECK_FALSE(policy.may_read(now, budget));
    CHECK(policy.judge(now, kind::idempotent) == verdict::wait);
}

// Guards against work for requests that count as not read.
TEST_CASE("nothing is read behind a request that ends its connection") {
    held_answer_budget budget({});
    CHECK_FALSE(policy.may_read({.in_progress = 1, .ends_after = true}, budget));
}

// Guards against memory that grows with the answers that a caller does not read.
TEST_CASE("nothing is read from a caller that does not take its answers") {
    const pipelining_policy bounded({.max_unsent = 100});
    held_answer_budget budget({});
    CHECK(bounded.may_read({.unsent = 100}, budget));
    CHECK_FALSE(bounded.may_read({.unsent = 101}, budget));
    CHECK_FALSE(bounded.may_read({.in_progress = 1, .unsent = 101}, budget));
}

// Guards against a node that fills its memory with answers that callers can't be sent yet.
TEST_CASE("held answers are charged to their budget until they are sent") {
    held_answer_budget budget({.limit = 300, .reserve = 100});
    auto first = std::make_unique<held_answer>(budget);
    auto second = std::make_unique<held_answer>(budget);
    CHECK(budget.charged() == 200);
    CHECK(budget.has_room());
    first->append(std::string(80, 'x'));
    CHECK(budget.charged() == 200);
    CHECK_FALSE(first->full());
    first->append(std::string(80, 'x'));
    CHECK(budget.charged() == 260);
    CHECK(first->full());
    CHECK_FALSE(budget.has_room());
    CHECK_FALSE(policy.may_read({.in_progress = 1}, budget));
    first->replace("short");
    CHECK(budget.charged() == 200);
    first.reset();
    second.reset();
    CHECK(budget.charged() == 0);
}
