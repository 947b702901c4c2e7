// Backends that reject part of their calls, and now and then send an answer a
// second time, late: at the point where the next answer on that connection is
// expected. Checks that no unsafe request runs twice; records also which ones
// were answered 408, 421, 429 or 503 and ran.
#include <boost/asio/buffer.hpp>

#include <iostream>
#include <random>
#include <sstream>

#include "../stand_in/site.hpp"

namespace
{

using namespace review;

// As in the sites' files: all backends of a service reject this share of their
// calls for 8.5 s (`srv_grey`, `shed all`), and the answers of six tenths of
// them are followed by a second one with this share for 5 s (`garble`, `extra
// late`).
constexpr double reject_share = 0.12;
constexpr double repeat_share = 0.03;
constexpr std::size_t backends_with_repeats = 3;
constexpr milliseconds rejects_for(8500);
constexpr milliseconds repeats_from(2000);
constexpr milliseconds repeats_for(5000);
constexpr int rounds = 4;
constexpr milliseconds pause_between_rounds(3000);

constexpr std::size_t backend_count = 5;
constexpr std::size_t clients = 96;
constexpr milliseconds work_time(15);
constexpr milliseconds client_timeout(5000);
constexpr milliseconds warm_up_time(4000);
constexpr milliseconds settle_time(2500);
constexpr milliseconds start_limit(20000);

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

std::string text_of(const beast::string_view& from)
{
    return {from.data(), from.size()};
}

// What clients and backends have seen.
class observations
{
public:
    void ran(const std::string& id, const std::string& where)
    {
        const std::scoped_lock lock(mutex_);
        runs_[id].push_back(where);
    }

    void answered(const std::string& id, unsigned status)
    {
        const std::scoped_lock lock(mutex_);
        answers_[id] = status;
    }

    // Writes all violations to the record. Returns the number of requests that
    // ran more than once.
    std::size_t check(record& notes)
    {
        const std::scoped_lock lock(mutex_);
        std::map<unsigned, std::size_t> statuses;
        std::size_t twice = 0;
        std::size_t refused = 0;
        for (const auto& [id, status] : answers_)
        {
            ++statuses[status];
            const auto count = runs_[id].size();
            const bool ran_twice = count > 1;
            const bool ran_refused = count > 0 && promises_not_run(status);
            twice += ran_twice ? 1 : 0;
            refused += ran_refused ? 1 : 0;
            if (ran_twice || ran_refused)
            {
                notes.line(describe(ran_twice ? "TWICE" : "REFUSED", id));
            }
        }
        for (const auto& [status, count] : statuses)
        {
            notes.line(
                "answers with status " + std::to_string(status) + ": " +
                std::to_string(count));
        }
        notes.line(
            "requests that ran more than once: " + std::to_string(twice));
        notes.line("requests refused that ran: " + std::to_string(refused));
        return twice;
    }

private:
    static bool promises_not_run(unsigned status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    std::string describe(const char* rule, const std::string& id)
    {
        std::ostringstream text;
        text << rule << ": unsafe request " << id << " was answered "
             << answers_[id] << " and ran at";
        for (const auto& where : runs_[id])
        {
            text << " " << where;
        }
        return text.str();
    }

    std::mutex mutex_;
    std::map<std::string, std::vector<std::string>> runs_;
    // 0: the connection ended without an answer.
    std::map<std::string, unsigned> answers_;
};

// The trouble of this moment, and counts of what it did.
struct trouble
{
    std::atomic<bool> rejects = false;
    std::atomic<bool> repeats = false;
    std::atomic<std::size_t> rejected = 0;
    std::atomic<std::size_t> repeated = 0;
};

// Serves one connection of a backend.
class connection_server
{
public:
    connection_server(
        const backend_options& of,
        bool may_repeat,
        trouble& now,
        observations& seen,
        record& notes)
        : of_(of)
        , may_repeat_(may_repeat)
        , now_(now)
        , seen_(seen)
        , notes_(notes)
    {
    }

    void run(tcp::socket& socket)
    {
        beast::flat_buffer buffer;
        std::optional<text_response> late;
        boost::system::error_code failed;
        while (!failed)
        {
            text_request request;
            http::read(socket, buffer, request, failed);
            if (failed)
            {
                return;
            }
            if (late)
            {
                // The second answer to the request before.
                ++now_.repeated;
                notes_.line(
                    of_.id + " sends its " +
                    std::to_string(late->result_int()) + " to " +
                    text_of((*late)[attempt_id]) +
                    " again, before it answers " +
                    text_of(request[attempt_id]));
                http::write(socket, *late, failed);
                late.reset();
            }
            const auto answer = serve(request);
            if (failed)
            {
                return;
            }
            http::write(socket, answer, failed);
            if (may_repeat_ && now_.repeats && chance() < repeat_share)
            {
                late = answer;
            }
        }
    }

private:
    double chance()
    {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }

    text_response serve(const text_request& request)
    {
        auto answer = make_answer(of_, request);
        answer.set(server_load, "20,0,64,100");
        if (answer.result() != http::status::ok)
        {
            return answer;
        }
        if (now_.rejects && chance() < reject_share)
        {
            ++now_.rejected;
            answer = text_response(http::status::service_unavailable, 11);
            answer.set(attempt_id, request[attempt_id]);
            answer.set(not_executed, "1");
            answer.set(server_load, "64,20,64,100");
            answer.prepare_payload();
            return answer;
        }
        seen_.ran(text_of(request[attempt_id]), of_.id);
        std::this_thread::sleep_for(work_time);
        return answer;
    }

    const backend_options& of_;
    bool may_repeat_;
    trouble& now_;
    observations& seen_;
    record& notes_;
    std::mt19937 random_{std::random_device()()};
};

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
        seen.answered(id, answer ? answer->result_int() : 0);
        std::this_thread::sleep_for(work_time);
    }
}

int run(record& notes)
{
    observations seen;
    trouble now;
    // The clients' host, and one host beside each backend.
    std::vector<sidecar_plan> plans{{"pooltrack", "lhr-a"}};
    for (std::size_t n = 0; n < backend_count; ++n)
    {
        plans.push_back({"payout-desk", n % 2 == 0 ? "lhr-a" : "lhr-b"});
    }
    site deployment(plans, notes);
    std::vector<std::unique_ptr<backend>> backends;
    for (std::size_t n = 0; n < plans.size(); ++n)
    {
        backend_options options;
        options.id = "i-" + std::to_string(n);
        options.service = plans[n].service;
        options.zone = plans[n].zone;
        options.address = deployment.application(n);
        options.reports = deployment.reports(n);
        const bool may_repeat = n >= 1 && n <= backends_with_repeats;
        backends.push_back(std::make_unique<backend>(
            options,
            [options, may_repeat, &now, &seen, &notes](tcp::socket& socket)
            {
                connection_server(options, may_repeat, now, seen, notes)
                    .run(socket);
            }));
    }
    if (!deployment.configure(
            {{"/disburse/", "unsafe", "payout-desk", 5000, 1}}))
    {
        return not_run;
    }
    const bool known = wait_until(
        [&]
        {
            return std::all_of(
                backends.begin(),
                backends.end(),
                [](const auto& each)
                {
                    return each->is_known();
                });
        },
        start_limit);
    if (!known)
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
    for (int round = 0; round < rounds; ++round)
    {
        notes.line("round " + std::to_string(round + 1));
        now.rejects = true;
        std::this_thread::sleep_for(repeats_from);
        now.repeats = has_trouble();
        std::this_thread::sleep_for(repeats_for);
        now.repeats = false;
        std::this_thread::sleep_for(rejects_for - repeats_from - repeats_for);
        now.rejects = false;
        std::this_thread::sleep_for(pause_between_rounds);
    }
    stop = true;
    for (auto& each : threads)
    {
        each.join();
    }
    std::this_thread::sleep_for(settle_time);
    notes.line(
        "calls rejected without running: " + std::to_string(now.rejected));
    notes.line("answers sent a second time: " + std::to_string(now.repeated));
    return seen.check(notes) == 0 ? held : broken;
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 2)
    {
        std::cerr << "usage: late_rejection RECORD\n";
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
