// The daemon beside a backend is stopped and started again while its backend
// works on; the backend makes a call more than three seconds after SIGTERM.
//
//     stop_case REPOSITORY FOLDER RECORD TROUBLE
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include "upstream.hpp"

namespace
{

using namespace stand_in;

constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;
constexpr int status_ok = 200;
constexpr int status_error = 500;
constexpr milliseconds start_timeout(30000);
constexpr milliseconds time_limit(6000);
// The longest time limit of a backend's call on the site's sheet.
constexpr milliseconds call_time_limit(3000);
constexpr milliseconds grace_period(6000);
// Requests that were sent no later than this after SIGTERM may be broken off.
constexpr milliseconds excused_until(3000);
// From SIGTERM to the request that makes the call.
constexpr milliseconds request_after(1000);
constexpr milliseconds work_before_call(2400);
constexpr milliseconds work_of_call(2200);
constexpr milliseconds short_work(20);
constexpr int warm_up_requests = 30;

constexpr std::size_t stopped_host = 0;
constexpr std::size_t called_host = 1;
constexpr std::size_t caller_host = 2;

// A call of the backend on the stopped host.
struct call_result
{
    clock::time_point sent;
    clock::time_point ended;
    std::optional<message> answer;
};

class calling_backend
{
public:
    calling_backend(const site& at, record& events)
        : at_(at)
        , events_(events)
    {
    }

    // "/pay/WORK/CALL/ID": works for WORK ms, then makes a call of CALL ms.
    int run(const message& request)
    {
        const auto deadline =
            clock::now() +
            milliseconds(std::atoi(
                request.field("nutmegusher-timeout-remaining-ms").c_str()));
        const auto path = request.path();
        const auto work = std::strtol(path.c_str() + 5, nullptr, 10);
        const auto rest = path.substr(path.find('/', 5) + 1);
        std::this_thread::sleep_for(milliseconds(work));
        call_result made;
        made.sent = clock::now();
        const auto left = std::min(
            std::chrono::duration_cast<milliseconds>(deadline - made.sent),
            call_time_limit);
        const auto id = request.field("nutmegusher-attempt-id") + ".1";
        const auto to = at_.callers(stopped_host);
        events_.line("i-pay: sends call " + id + " /look/" + rest);
        made.answer = exchange(
            to,
            make_request(
                "GET",
                "/look/" + rest,
                {{"host", host_name},
                 {"nutmegusher-attempt-id", id},
                 {"nutmegusher-timeout-remaining-ms",
                  std::to_string(left.count())}},
                ""),
            left);
        made.ended = clock::now();
        events_.line(
            "i-pay: call " + id + " ends: " +
            (made.answer ? made.answer->first_line : std::string("no answer")));
        const bool served = made.answer && made.answer->status() == status_ok;
        const std::scoped_lock lock(mutex_);
        calls_.push_back(std::move(made));
        return served ? status_ok : status_error;
    }

    [[nodiscard]] std::vector<call_result> calls() const
    {
        const std::scoped_lock lock(mutex_);
        return calls_;
    }

private:
    const site& at_;
    record& events_;
    mutable std::mutex mutex_;
    std::vector<call_result> calls_;
};

upstream_options
make_options(const site& at, std::size_t daemon, const std::string& service)
{
    upstream_options made;
    made.id = "i-" + service;
    made.service = service;
    made.zone = "zone-" + std::to_string(daemon + 1);
    made.at = at.upstream(daemon);
    made.reports = at.reports(daemon);
    made.work = short_work;
    return made;
}

int send_request(
    const site& at,
    std::size_t host,
    const std::string& path,
    const std::string& id,
    record& events)
{
    const auto answer = exchange(
        at.callers(host),
        make_request(
            path.starts_with("/pay/") ? "POST" : "GET",
            path + "/" + id,
            {{"host", host_name},
             {"nutmegusher-attempt-id", id},
             {"nutmegusher-timeout-remaining-ms",
              std::to_string(time_limit.count())}},
            ""),
        time_limit);
    events.line(
        "caller: " + id + ": " +
        (answer ? answer->first_line : std::string("no answer")));
    return answer ? answer->status() : 0;
}

// "/look/CALL/ID" and "/view/CALL/ID" work for CALL ms.
int run_call(const message& request)
{
    const auto path = request.path();
    std::this_thread::sleep_for(
        milliseconds(std::strtol(path.c_str() + 6, nullptr, 10)));
    return status_ok;
}

bool is_broken_off(const call_result& call, clock::time_point term)
{
    const bool own_answer =
        !call.answer ||
        call.answer->field("nutmegusher-response-signature").empty();
    const bool is_excused = call.sent <= term + excused_until;
    // An answer of 503 would say that the call hasn't run.
    const bool refused = call.answer && call.answer->status() == 503;
    return own_answer && !is_excused && !refused;
}

int run(site& at, bool trouble, record& events)
{
    if (!at.start() || !at.configure(start_timeout))
    {
        return could_not_run;
    }
    for (std::size_t i = 0; i < at.options().services.size(); ++i)
    {
        if (!at.wait_until_ready(i, start_timeout))
        {
            return could_not_run;
        }
    }
    calling_backend backend(at, events);
    auto calling = make_options(at, stopped_host, "pay");
    calling.run = [&backend](const message& request)
    {
        return backend.run(request);
    };
    const upstream pay(calling, events);
    auto called = make_options(at, called_host, "look");
    called.run = run_call;
    const upstream look(called, events);
    const upstream desk(make_options(at, caller_host, "desk"), events);
    int served = 0;
    for (int i = 0; i < warm_up_requests; ++i)
    {
        const auto id = "warm" + std::to_string(i);
        const auto status =
            send_request(at, caller_host, "/pay/20/20", id, events);
        served += status == status_ok ? 1 : 0;
        for (std::size_t host = 0; host < at.options().services.size(); ++host)
        {
            const auto view = id + "v" + std::to_string(host);
            send_request(at, host, "/view/20", view, events);
        }
    }
    if (served == 0)
    {
        return could_not_run;
    }
    std::this_thread::sleep_for(milliseconds(3500));

    const auto term = clock::now();
    if (trouble)
    {
        events.line("SIGTERM to sidecar-1");
        at.daemon_process(stopped_host).signal(SIGTERM);
    }
    std::this_thread::sleep_until(term + request_after);
    const auto before = backend.calls().size();
    const auto path = "/pay/" + std::to_string(work_before_call.count()) + "/" +
                      std::to_string(work_of_call.count());
    std::thread caller(
        [&]
        {
            send_request(at, caller_host, path, "late", events);
        });
    while (trouble && clock::now() < term + grace_period &&
           !at.daemon_process(stopped_host).has_ended())
    {
        std::this_thread::sleep_for(short_work);
    }
    if (trouble)
    {
        at.daemon_process(stopped_host).kill();
        events.line("sidecar-1 has ended, and is started again");
        at.start_daemon(stopped_host);
    }
    caller.join();
    const auto calls = backend.calls();
    if (calls.size() == before)
    {
        events.line("the call wasn't made");
        return trouble ? rule_held : could_not_run;
    }
    const bool reached =
        !look.arrivals().empty() && look.arrivals().back().attempt == "late.1";
    if (!reached)
    {
        events.line("the call wasn't passed on");
        return rule_held;
    }
    return is_broken_off(calls.back(), term) ? rule_broken : rule_held;
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 5)
    {
        std::cerr << "stop_case REPOSITORY FOLDER RECORD TROUBLE\n";
        return could_not_run;
    }
    record events(arguments[3]);
    site_options options;
    options.services = {"pay", "look", "desk"};
    options.routes = {
        {"pay", "/pay/", "unsafe", "pay"},
        {"look", "/look/", "safe", "look"},
        {"view", "/view/", "safe", "look"}};
    options.timeout_ms = static_cast<int>(time_limit.count());
    site at(options, arguments[1], arguments[2], events);
    const bool trouble = std::string(arguments[4]) != "0";
    const int verdict = run(at, trouble, events);
    events.line("verdict " + std::to_string(verdict));
    return verdict;
}
