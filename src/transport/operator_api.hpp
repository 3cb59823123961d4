#pragma once

#include <functional>
#include <httplib.h>
#include <string>

namespace peppertack {

class control_host;

using add_reading_route = std::function<void(const std::string &, httplib::Server::Handler)>;
using check_operator = std::function<bool(const httplib::Request &, httplib::Response &)>;

/// Adds what operators and auditors call. `control` may be null: such a process answers that it
/// does not lead.
void add_operator_routes(httplib::Server &server, control_host *control,
                         const add_reading_route &add_reading, check_operator may_change);

} // namespace peppertack
