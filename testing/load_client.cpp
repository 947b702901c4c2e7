#include "testing/load_client.hpp"

#include "testing/async_http_client.hpp"
#include "testing/patterned_body.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace nutmegusher::test_support
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds max_retry_delay(2000);
constexpr std::chrono::milliseconds default_retry_delay(50);
constexpr unsigned status_ok = 200;

struct arrival
{
    duration at{};
    std::size_t class_index = 0;
};

double rate_at(const offered_class& offered, duration at)
{
    const bool surge = offered.surge_factor > 0.0 && at >= offered.surge_from &&
                       at < offered.surge_from + offered.surge_for;
    return surge ? offered.rate * offered.surge_factor : offered.rate;
}

std::vector<arrival>
plan_arrivals(const load_options& options, random_engine& random)
{
    std::vector<arrival> arrivals;
    const duration length = std::max(options.length, options.max_length);
    for (std::size_t i = 0; i < options.classes.size(); ++i)
    {
        duration at{};
        while (at < length)
        {
            const double gap =
                options.poisson ? -std::log(1.0 - uniform_unit(random)) : 1.0;
            const double rate = rate_at(options.classes[i], at);
            at += std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(gap / rate));
            if (at < length)
            {
                arrivals.push_back({at, i});
            }
        }
    }
    std::stable_sort(
        arrivals.begin(),
        arrivals.end(),
        [](const arrival& left, const arrival& right)
        {
            return left.at < right.at;
        });
    arrivals.resize(std::min(arrivals.size(), options.max_requests));
    return arrivals;
}

http_request
make_request(const offered_class& offered, const load_record& record)
{
    http_request request;
    request.method = offered.method;
    request.target = offered.target;
    request.headers = {
        {"x-token", record.token},
        {"x-answer-bytes", std::to_string(offered.answer_bytes)},
        {"nutmeg-customer", record.customer},
        {"nutmeg-timeout-ms", std::to_string(offered.timeout.count())}};
    if (offered.service_ms >= 0.0)
    {
        request.headers.push_back(
            {"x-service-ms", std::to_string(offered.service_ms)});
    }
    if (offered.keyed)
    {
        request.headers.push_back({"idempotency-key", record.key});
    }
    // Generated from the token, so that a retry has the same body.
    request.body.resize(offered.body_bytes);
    fill_pattern(record.token, 0, request.body);
    return request;
}

bool matches_expected_body(
    const http_answer& answer,
    const load_record& record,
    const offered_class& offered)
{
    return answer.body_size == offered.answer_bytes &&
           answer.body_digest ==
               pattern_digest(record.token, offered.answer_bytes);
}

// Records the result of one try. A later "not run" doesn't replace an earlier
// "unknown", because it holds for the later try only.
void record_try(
    const http_result& result,
    const offered_class& offered,
    load_record& record)
{
    ++record.tries;
    if (!result)
    {
        record.status = 0;
        record.reason = to_text(result.error());
        if (result.error() != http_failure::connect_failed)
        {
            record.outcome = caller_outcome::unknown;
        }
        return;
    }
    record.status = result->status;
    record.reason = result->header("nutmeg-reason");
    record.request_id = result->header("nutmeg-request-id");
    const auto reported_outcome = result->header("nutmeg-outcome");
    if (reported_outcome == "completed" && record.status == status_ok)
    {
        record.outcome = matches_expected_body(*result, record, offered)
                             ? caller_outcome::completed
                             : caller_outcome::wrong;
    }
    else if (reported_outcome != "not-run")
    {
        record.outcome = caller_outcome::unknown;
        if (record.reason.empty())
        {
            record.reason = "status_" + std::to_string(record.status);
        }
    }
}

std::chrono::milliseconds retry_delay(const http_result& result)
{
    if (!result)
    {
        return default_retry_delay;
    }
    const auto text = result->header("nutmeg-retry-after-ms");
    std::int64_t value = default_retry_delay.count();
    std::from_chars(text.data(), text.data() + text.size(), value);
    return std::min(std::chrono::milliseconds(value), max_retry_delay);
}

// State of one load run. Not thread-safe.
class load_run
{
public:
    explicit load_run(const load_options& options)
        : options_(options)
        , random_(options.seed)
        , customer_random_(options.seed)
    {
        for (const auto& daemon : options.daemons)
        {
            daemons_.push_back(parse_endpoint(daemon));
        }
    }

    std::vector<load_record> run(const std::vector<arrival>& arrivals)
    {
        records_.resize(arrivals.size());
        started_ = host_clock().now();
        asio::co_spawn(context_, generate(arrivals), asio::detached);
        context_.run();
        records_.resize(arrived_);
        return std::move(records_);
    }

    std::vector<load_record> run()
    {
        return run(plan_arrivals(options_, random_));
    }

private:
    asio::awaitable<void> generate(std::vector<arrival> arrivals)
    {
        asio::steady_timer timer(context_);
        for (std::size_t i = 0; i < arrivals.size(); ++i)
        {
            timer.expires_at(started_ + arrivals[i].at);
            co_await timer.async_wait(asio::use_awaitable);
            if (is_over(arrivals[i].at))
            {
                co_return;
            }
            ++arrived_;
            prepare(i, arrivals[i]);
            asio::co_spawn(
                context_, call(i, arrivals[i].class_index), asio::detached);
        }
    }

    [[nodiscard]] bool is_over(duration at) const
    {
        return at >= options_.length && options_.stop.stop_requested();
    }

    void prepare(std::size_t index, const arrival& planned)
    {
        const auto& offered = options_.classes[planned.class_index];
        auto& record = records_[index];
        record.class_name = offered.name;
        record.token = options_.prefix + "-" + std::to_string(index);
        record.customer =
            "customer-" +
            std::to_string(uniform_below(customer_random_, offered.customers));
        record.key = offered.keyed ? record.token : std::string();
        record.arrival = planned.at;
        record.service_ms = offered.service_ms;
        record.outcome = caller_outcome::not_run;
    }

    asio::awaitable<void> call(std::size_t index, std::size_t class_index)
    {
        const auto& offered = options_.classes[class_index];
        auto& record = records_[index];
        const auto request = make_request(offered, record);
        asio::steady_timer timer(context_);
        while (record.tries < options_.max_tries)
        {
            const auto& daemon = daemons_[next_daemon_++ % daemons_.size()];
            const auto result =
                co_await client_.call(daemon, request, offered.timeout);
            record_try(result, offered, record);
            if (record.outcome == caller_outcome::completed ||
                record.outcome == caller_outcome::wrong ||
                options_.retries == client_retries::none ||
                record.tries == options_.max_tries)
            {
                break;
            }
            if (options_.retries == client_retries::as_answer_allows)
            {
                timer.expires_after(retry_delay(result));
                co_await timer.async_wait(asio::use_awaitable);
            }
        }
        record.finished = host_clock().now() - started_;
        record.latency = record.finished - record.arrival;
    }

    const load_options& options_;
    random_engine random_;
    // A separate generator, so that requests come from the same customers
    // whatever the planned length of the load.
    random_engine customer_random_;
    asio::io_context context_{1};
    async_http_client client_{context_};
    std::vector<tcp_endpoint> daemons_;
    std::size_t next_daemon_ = 0;
    time_point started_{};
    std::vector<load_record> records_;
    // The number of records whose requests have arrived.
    std::size_t arrived_ = 0;
};

} // namespace

std::string_view to_text(caller_outcome outcome)
{
    switch (outcome)
    {
    case caller_outcome::completed:
        return "completed";
    case caller_outcome::not_run:
        return "not_run";
    case caller_outcome::unknown:
        return "unknown";
    case caller_outcome::wrong:
        break;
    }
    return "wrong";
}

std::vector<load_record> run_load(const load_options& options)
{
    return load_run(options).run();
}

load_record run_one(const load_options& options)
{
    return load_run(options).run({arrival{}}).front();
}

} // namespace nutmegusher::test_support
