#include "upstream.hpp"

#include <utility>

namespace stand_in
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_misdirected = 421;
constexpr milliseconds report_interval(1500);
constexpr milliseconds report_timeout(1000);
constexpr milliseconds idle_timeout(30000);
constexpr milliseconds pause(20);

} // namespace

upstream::upstream(upstream_options options, record& events)
    : options_(std::move(options))
    , events_(events)
{
    events_.line(
        options_.id + ": starts at " + options_.at.text() + ", born " +
        std::to_string(options_.born));
    server_ = std::make_unique<server>(
        options_.at,
        [this](connection& from)
        {
            serve(from);
        });
    reports_ = std::thread(
        [this]
        {
            report_regularly();
        });
}

upstream::~upstream()
{
    stopped_ = true;
    reports_.join();
    server_.reset();
    events_.line(options_.id + ": has ended");
}

void upstream::serve(connection& from)
{
    while (!stopped_)
    {
        const auto request = from.read(clock::now() + idle_timeout);
        if (!request)
        {
            return;
        }
        const auto attempt = request->field("nutmegusher-attempt-id");
        const auto expected = request->field("nutmegusher-expected-instance");
        const bool runs = expected.empty() || expected == options_.id;
        {
            const std::scoped_lock lock(mutex_);
            arrivals_.push_back({clock::now(), attempt, runs});
        }
        events_.line(
            options_.id + ": request " + attempt + " " + request->first_line +
            (runs ? " runs" : " rejected with 421"));
        fields head{{"nutmegusher-attempt-id", attempt}};
        if (!runs)
        {
            head.emplace("nutmegusher-not-executed", "1");
            from.send(make_answer(status_misdirected, head, ""));
            continue;
        }
        int status = status_ok;
        if (options_.run)
        {
            status = options_.run(*request);
        }
        else
        {
            std::this_thread::sleep_for(options_.work);
        }
        head.emplace(
            "nutmegusher-response-signature", options_.id + "." + attempt);
        if (!from.send(
                make_answer(status, head, "answer to " + attempt + "\n")))
        {
            return;
        }
    }
}

int upstream::report()
{
    const std::scoped_lock lock(reporting_);
    const std::string born =
        options_.born > 0 ? "\"born\":" + std::to_string(options_.born) + ","
                          : "";
    const std::string state = draining_ ? "draining" : "ready";
    const auto body = "{" + born + "\"address\":\"" + options_.at.text() +
                      "\",\"server_info\":{\"service\":\"" + options_.service +
                      "\",\"version\":\"v1\",\"zone\":\"" + options_.zone +
                      "\",\"slots\":" + std::to_string(options_.slots) +
                      "},\"status\":{\"state\":\"" + state +
                      "\",\"sequence\":" + std::to_string(++sequence_) +
                      ",\"cold_remaining_ms\":0}}";
    const auto request = make_request(
        "PUT",
        "/api/instances/" + options_.id,
        {{"host", options_.reports.text()},
         {"content-type", "application/json"}},
        body);
    const auto answer = exchange(options_.reports, request, report_timeout);
    const int status = answer ? answer->status() : 0;
    events_.line(
        options_.id + ": report " + std::to_string(sequence_) + " " + state +
        ": " + std::to_string(status));
    return status;
}

void upstream::report_regularly()
{
    auto next = clock::now();
    while (!stopped_)
    {
        if (clock::now() >= next)
        {
            report();
            next = clock::now() + report_interval;
        }
        std::this_thread::sleep_for(pause);
    }
}

std::optional<clock::time_point> upstream::drain(milliseconds timeout)
{
    draining_ = true;
    const auto until = clock::now() + timeout;
    while (clock::now() < until)
    {
        if (report() == status_ok)
        {
            return clock::now();
        }
        std::this_thread::sleep_for(pause);
    }
    return std::nullopt;
}

int upstream::withdraw()
{
    const auto body = options_.born > 0
                          ? "{\"born\":" + std::to_string(options_.born) + "}"
                          : std::string();
    const auto request = make_request(
        "DELETE",
        "/api/instances/" + options_.id,
        {{"host", options_.reports.text()},
         {"content-type", "application/json"}},
        body);
    const auto answer = exchange(options_.reports, request, report_timeout);
    const int status = answer ? answer->status() : 0;
    events_.line(options_.id + ": DELETE: " + std::to_string(status));
    return status;
}

std::vector<arrival> upstream::arrivals() const
{
    const std::scoped_lock lock(mutex_);
    return arrivals_;
}

} // namespace stand_in
