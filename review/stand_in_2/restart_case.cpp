// A backend starts again under its id after its machine's clock was set back,
// and drains seconds later.
//
//     restart_case REPOSITORY FOLDER RECORD TROUBLE
#include <cstdio>
#include <iostream>
#include <list>
#include <string>

#include "upstream.hpp"

namespace
{

using namespace stand_in;

constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;
// One of ten backends goes down and up: `srv_flap` has a share of 0.1.
constexpr std::size_t backends = 10;
constexpr milliseconds start_timeout(30000);
// Bounds of the deployment's settings.
constexpr milliseconds drain_bound(2000);
constexpr milliseconds contact_window(3000);
// How far the machine's clock was ahead, and is set back.
constexpr milliseconds clock_step(2000);
// The backend goes down and up again.
constexpr milliseconds up_time(700);
constexpr milliseconds down_time(700);
constexpr milliseconds request_interval(20);
constexpr milliseconds request_timeout(5000);
constexpr milliseconds serving_after_drain(8000);

std::int64_t unix_milliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

upstream_options
make_options(const site& at, std::size_t daemon, const std::string& id)
{
    upstream_options made;
    made.id = id;
    made.service = "payments";
    made.zone = "zone-" + std::to_string(daemon % 3 + 1);
    made.at = at.upstream(daemon);
    made.reports = at.reports(daemon);
    made.born = unix_milliseconds();
    return made;
}

// Sends requests to all daemons in turn.
class callers
{
public:
    callers(const site& at, std::size_t daemons, record& events)
        : at_(at)
        , daemons_(daemons)
        , events_(events)
        , thread_(
              [this]
              {
                  run();
              })
    {
    }

    ~callers()
    {
        stopped_ = true;
        thread_.join();
    }

    callers(const callers&) = delete;
    callers& operator=(const callers&) = delete;

    [[nodiscard]] int served() const
    {
        return served_;
    }

private:
    void run()
    {
        for (int i = 0; !stopped_; ++i)
        {
            const auto to = at_.callers(static_cast<std::size_t>(i) % daemons_);
            const auto id = "attempt" + std::to_string(i);
            const auto request = make_request(
                "GET",
                "/pay/" + std::to_string(i),
                {{"host", host_name},
                 {"nutmegusher-attempt-id", id},
                 {"nutmegusher-timeout-remaining-ms",
                  std::to_string(request_timeout.count())}},
                "");
            const auto answer = exchange(to, request, request_timeout);
            served_ += answer && answer->status() == 200 ? 1 : 0;
            events_.line(
                "caller: " + id + " at " + to.text() + ": " +
                (answer ? answer->first_line : std::string("no answer")));
            std::this_thread::sleep_for(request_interval);
        }
    }

    const site& at_;
    std::size_t daemons_;
    record& events_;
    std::atomic<bool> stopped_ = false;
    std::atomic<int> served_ = 0;
    std::thread thread_;
};

int run(site& at, bool trouble, record& events)
{
    if (!at.start() || !at.configure(start_timeout))
    {
        return could_not_run;
    }
    for (std::size_t i = 0; i < backends; ++i)
    {
        if (!at.wait_until_ready(i, start_timeout))
        {
            return could_not_run;
        }
    }
    std::list<upstream> others;
    for (std::size_t i = 1; i < backends; ++i)
    {
        const auto id = "i-other-" + std::to_string(i);
        others.emplace_back(make_options(at, i, id), events);
    }
    auto first = make_options(at, 0, "i-again");
    if (trouble)
    {
        events.line("the clock beside i-again is ahead");
        first.born += clock_step.count();
    }
    auto again = std::make_unique<upstream>(first, events);
    std::this_thread::sleep_for(up_time);
    if (trouble)
    {
        events.line("the clock beside i-again is set back");
    }
    again.reset();
    std::this_thread::sleep_for(down_time);
    again = std::make_unique<upstream>(make_options(at, 0, "i-again"), events);

    const callers calling(at, backends, events);
    // Longer than the window in which a machine isn't in touch.
    std::this_thread::sleep_for(contact_window + milliseconds(2000));
    const auto before = again->arrivals().size();
    if (calling.served() == 0 || before == 0)
    {
        events.line("no request was served");
        return could_not_run;
    }
    const auto acknowledged = again->drain(milliseconds(5000));
    if (!acknowledged)
    {
        events.line("the report of draining wasn't acknowledged");
        return rule_held;
    }
    events.line("draining is acknowledged");
    std::this_thread::sleep_for(serving_after_drain);
    int late = 0;
    for (const auto& each : again->arrivals())
    {
        late += each.ran && each.at > *acknowledged + drain_bound ? 1 : 0;
    }
    again->withdraw();
    events.line(
        "requests that ran later than 2 s after the acknowledgement: " +
        std::to_string(late));
    return late > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 5)
    {
        std::cerr << "restart_case REPOSITORY FOLDER RECORD TROUBLE\n";
        return could_not_run;
    }
    record events(arguments[3]);
    site_options options;
    options.services.assign(backends, "payments");
    options.routes = {{"pay", "/pay/", "safe", "payments"}};
    site at(options, arguments[1], arguments[2], events);
    const bool trouble = std::string(arguments[4]) != "0";
    const int verdict = run(at, trouble, events);
    events.line("verdict " + std::to_string(verdict));
    return verdict;
}
