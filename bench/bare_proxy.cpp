#include <cstdlib>
#include <httplib.h>
#include <string>

// The baseline: what a proxy costs by the HTTP library alone, without any of the checks.

int main(int count, char **values) {
    if (count != 3) {
        return 2;
    }
    const std::string target = values[2];
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(256); };
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(1'000'000'000);
    const auto pass = [&](const httplib::Request &request, httplib::Response &out) {
        thread_local httplib::Client client("http://" + target);
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        const httplib::Result answer = client.Get(request.target.c_str());
        out.status = answer ? answer->status : 502;
        out.body = answer ? answer->body : "";
    };
    server.Get(".*", pass);
    const std::string address = values[1];
    const std::size_t colon = address.rfind(':');
    server.listen(address.substr(0, colon), std::atoi(address.c_str() + colon + 1));
    return 0;
}
