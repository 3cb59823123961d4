#include "child_process.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace peppertack::testing;

namespace {

/// A listener on a port of 127.0.0.1; -1 if the port can't be had. Port 0: any.
int listen_on(int port, int &given) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
    address.sin_port = ::htons(static_cast<std::uint16_t>(port));
    socklen_t size = sizeof(address);
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&address), size) != 0 ||
        ::listen(descriptor, 8) != 0) {
        ::close(descriptor);
        return -1;
    }
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    given = ::ntohs(address.sin_port);
    return descriptor;
}

} // namespace

TEST_CASE("a listener can be opened again while a process is being started") {
    // Symptom: a soak ended with "bind: Address already in use". Sequence: it started a process,
    // closed a listener and opened it again. Cause: until its exec the new process had a copy of
    // the listener.
    int port = 0;
    int listener = listen_on(0, port);
    REQUIRE(listener >= 0);
    for (int i = 0; i < 200; ++i) {
        const pid_t child = start_child({.words = {"/bin/sleep", "60"}, .log_file = "/dev/null"});
        REQUIRE(child > 0);
        ::close(listener);
        listener = listen_on(port, port);
        ::kill(child, SIGKILL);
        ::waitpid(child, nullptr, 0);
        REQUIRE(listener >= 0);
    }
    ::close(listener);
}
