// A backend leaves: it withdraws itself, is acknowledged, and serves on for
// some seconds, as the pages say. The sidecar on its machine is killed and
// started again meanwhile, and a report that the backend sent before it
// withdrew itself arrives seconds late. Checks that no request reaches the
// backend later than `drain_ms` after the acknowledgement.
#include <iostream>

#include "../stand_in/site.hpp"

namespace
{

using namespace review;

constexpr milliseconds drain_time(2000);
constexpr milliseconds contact_window(3000);
// The late report arrives this long after it was sent.
constexpr milliseconds report_delay(3500);
constexpr milliseconds kill_after(600);
constexpr milliseconds restart_after(1100);
// "At times many seconds" after `drain_ms`.
constexpr milliseconds leaves_after(9000);
constexpr milliseconds settle_time(3000);

constexpr std::size_t clients = 16;
constexpr std::size_t leaving = 2;
constexpr milliseconds work_time(210);
constexpr milliseconds client_timeout(5000);
constexpr milliseconds warm_up_time(5000);
constexpr milliseconds start_limit(20000);
constexpr unsigned status_ok = 200;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

std::string text_of(const beast::string_view& from)
{
    return {from.data(), from.size()};
}

class observations
{
public:
    void reached_leaving(const std::string& id)
    {
        const std::scoped_lock lock(mutex_);
        reached_[id] = steady::now();
    }

    void answered(const std::string& id, unsigned status)
    {
        const std::scoped_lock lock(mutex_);
        answers_[id] = status;
    }

    // The number of requests that reached the leaving backend after `from`.
    std::size_t check(steady::time_point from, record& notes)
    {
        const std::scoped_lock lock(mutex_);
        std::size_t late = 0;
        std::map<unsigned, std::size_t> statuses;
        for (const auto& [id, at] : reached_)
        {
            if (at > from)
            {
                ++late;
                ++statuses[answers_[id]];
            }
        }
        for (const auto& [status, count] : statuses)
        {
            notes.line(
                "of these, answered " + std::to_string(status) + ": " +
                std::to_string(count));
        }
        statuses.clear();
        for (const auto& [id, status] : answers_)
        {
            ++statuses[status];
        }
        for (const auto& [status, count] : statuses)
        {
            notes.line(
                "all answers with status " + std::to_string(status) + ": " +
                std::to_string(count));
        }
        return late;
    }

private:
    std::mutex mutex_;
    std::map<std::string, steady::time_point> reached_;
    std::map<std::string, unsigned> answers_;
};

void serve(
    const backend_options& of,
    bool leaves,
    tcp::socket& socket,
    observations& seen)
{
    beast::flat_buffer buffer;
    boost::system::error_code failed;
    while (!failed)
    {
        text_request request;
        http::read(socket, buffer, request, failed);
        if (failed)
        {
            return;
        }
        auto answer = make_answer(of, request);
        answer.set(server_load, "4,0,64");
        if (answer.result() == http::status::ok)
        {
            if (leaves)
            {
                seen.reached_leaving(text_of(request[attempt_id]));
            }
            std::this_thread::sleep_for(work_time);
        }
        http::write(socket, answer, failed);
    }
}

void send_requests(
    const tcp::endpoint& to,
    std::size_t client,
    const std::atomic<bool>& stop,
    observations& seen)
{
    client_connection connection(to);
    for (std::size_t n = 0; !stop; ++n)
    {
        const auto id = "c" + std::to_string(client) + "-" + std::to_string(n);
        auto request = make_request(
            http::verb::post, "/disburse/" + id, id, client_timeout);
        request.body() = "amount 7";
        request.prepare_payload();
        const auto answer = connection.exchange(request);
        const auto status = answer ? answer->result_int() : 0;
        seen.answered(id, status);
        if (status != status_ok)
        {
            std::this_thread::sleep_for(work_time);
        }
    }
}

bool is_acknowledged(const std::optional<text_response>& answer)
{
    return answer && answer->result_int() == status_ok;
}

int run(record& notes)
{
    observations seen;
    site deployment(
        {{"pooltrack", "lhr-a"},
         {"payout-desk", "lhr-a"},
         {"payout-desk", "lhr-a"}},
        notes);
    std::vector<std::unique_ptr<backend>> backends;
    for (std::size_t n = 0; n < deployment.size(); ++n)
    {
        backend_options options;
        options.id = "i-" + std::to_string(n);
        options.service = deployment.plan(n).service;
        options.zone = deployment.plan(n).zone;
        options.address = deployment.application(n);
        options.reports = deployment.reports(n);
        backends.push_back(std::make_unique<backend>(
            options,
            [options, n, &seen](tcp::socket& socket)
            {
                serve(options, n == leaving, socket, seen);
            }));
    }
    if (!deployment.configure(
            {{"/disburse/", "unsafe", "payout-desk", 5000, 2}}))
    {
        return not_run;
    }
    const auto all_known = [&]
    {
        bool all = true;
        for (const auto& each : backends)
        {
            all = all && each->is_known();
        }
        return all;
    };
    if (!wait_until(all_known, start_limit))
    {
        notes.line("a backend's report was never acknowledged");
        return not_run;
    }
    std::atomic<bool> stop = false;
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < clients; ++n)
    {
        threads.emplace_back(
            [&, n]
            {
                send_requests(deployment.outbound(0), n, stop, seen);
            });
    }
    std::this_thread::sleep_for(warm_up_time);

    auto& leaver = *backends[leaving];
    leaver.stop_reports();
    // Sent now, arrives later.
    const auto late_report = leaver.make_report();
    const auto reported = steady::now();
    const bool withdrawn = is_acknowledged(
        send_once(leaver.options().reports, leaver.make_withdrawal()));
    const auto acknowledged = steady::now();
    notes.line(withdrawn ? "DELETE acknowledged" : "DELETE not acknowledged");
    std::this_thread::sleep_until(reported + kill_after);
    if (has_trouble())
    {
        notes.line("sidecar of the leaving backend is killed");
        deployment.sidecar(leaving).kill();
        std::this_thread::sleep_until(reported + restart_after);
        deployment.restart_sidecar(leaving);
        notes.line("and started again");
    }
    const auto restarted = steady::now();
    std::this_thread::sleep_until(reported + report_delay);
    const auto answer = send_once(leaver.options().reports, late_report);
    notes.line(
        "late report (ready, sent before the DELETE): " +
        (answer ? std::to_string(answer->result_int()) : "no answer"));
    std::this_thread::sleep_until(acknowledged + leaves_after);
    notes.line("the backend ends");
    leaver.end();
    std::this_thread::sleep_for(settle_time);
    stop = true;
    for (auto& each : threads)
    {
        each.join();
    }
    if (!withdrawn)
    {
        return not_run;
    }
    // Only what reaches it after `drain_ms`, and once the machine is in touch
    // again.
    const auto from =
        std::max(acknowledged + drain_time, restarted + contact_window);
    const auto late = seen.check(from, notes);
    notes.line(
        "DRAIN: requests that reached the backend too late: " +
        std::to_string(late));
    return late > 0 ? broken : held;
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 2)
    {
        std::cerr << "usage: late_report RECORD\n";
        return not_run;
    }
    record notes(arguments[1]);
    notes.line(has_trouble() ? "with trouble" : "without trouble");
    int result = not_run;
    try
    {
        result = run(notes);
    }
    catch (const std::exception& error)
    {
        notes.line(std::string("could not run: ") + error.what());
    }
    notes.line("exit " + std::to_string(result));
    return result;
}
