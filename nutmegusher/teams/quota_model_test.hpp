// A model of daemons, owners of quotas and the network between them, for
// tests: random histories of requests and faults.
//
//     history run(seed, {});
//     run.run();
//     EXPECT_LE(run.worst_excess(), 1);
#ifndef NUTMEGUSHER_TEAMS_QUOTA_MODEL_TEST_HPP
#define NUTMEGUSHER_TEAMS_QUOTA_MODEL_TEST_HPP

#include "nutmegusher/teams/teams.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace nutmegusher::quota_model
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step = milliseconds(5);
constexpr duration history_length = seconds(25);
// Requests a second that one draw stands for: at most one in a step.
constexpr double most_a_host = 50;
constexpr duration reply_timeout = milliseconds(250);
constexpr duration max_pending = milliseconds(300);

// Parts of the mechanism that the controls leave out.
struct model_options
{
    // A new owner takes its predecessor for gone, and its buckets for full.
    bool owner_waits = true;
    // A daemon without an answer of the owner refuses.
    bool daemons_wait = true;
};

// One control host. Two may take themselves for the owner for
// `ownership_lifetime`.
struct control_host
{
    std::unique_ptr<quota_owner> owner;
    time_point acts_until;
};

struct message
{
    time_point arrives;
    std::size_t daemon = 0;
    std::size_t control = 0;
    std::uint64_t run = 0;
    messages::quota_request request;
    messages::quota_reply reply;
    bool is_reply = false;
};

struct pending_request
{
    std::string team;
    time_point until;
};

struct running_request
{
    std::string team;
    std::size_t use = 0;
    time_point refunded_at;
};

struct daemon_host
{
    std::unique_ptr<quota_holder> holder;
    std::uint64_t run = 1;
    std::size_t believed_owner = 0;
    time_point reply_due;
    bool asked = false;
    time_point cut_until;
    time_point frozen_until;
    std::vector<pending_request> pending;
    std::vector<running_request> running;
};

struct used_token
{
    time_point at;
    bool ran = true;
};

struct limit_change
{
    time_point at;
    quota limit;
};

class history
{
public:
    history(std::uint64_t seed, const model_options& options)
        : options_(options)
        , engine_(seed)
    {
        hosts_.resize(3 + pick(10));
        for (std::size_t i = 0; i < hosts_.size(); ++i)
        {
            start(i);
        }
        controls_.resize(3);
        for (const auto& [name, limit] : std::map<std::string, quota>{
                 {"large", {400, 400}}, {"small", {5, 5}}, {"tiny", {1, 0}}})
        {
            teams_.push_back({name, std::nullopt, limit});
            limits_[name].push_back({clock_.now(), limit});
        }
        elect(0);
    }

    void run()
    {
        const auto end = clock_.now() + history_length;
        while (clock_.now() < end)
        {
            clock_.advance(step);
            cause_faults();
            deliver();
            for (std::size_t i = 0; i < hosts_.size(); ++i)
            {
                if (clock_.now() >= hosts_[i].frozen_until)
                {
                    advance(i);
                }
            }
        }
    }

    // The largest number of requests in any window over what is allowed there;
    // at most 1 if the bound holds.
    [[nodiscard]] double worst_excess() const
    {
        double worst = 0;
        for (const auto& [name, uses] : uses_)
        {
            std::deque<time_point> window;
            for (const auto& each : uses)
            {
                if (!each.ran)
                {
                    continue;
                }
                window.push_back(each.at);
                while (window.front() <= each.at - bounds_.window)
                {
                    window.pop_front();
                }
                const double count = static_cast<double>(window.size());
                worst = std::max(worst, count / allowed(name, each.at));
            }
        }
        return worst;
    }

    [[nodiscard]] std::size_t used() const
    {
        std::size_t sum = 0;
        for (const auto& [name, uses] : uses_)
        {
            sum += uses.size();
        }
        return sum;
    }

private:
    std::size_t pick(std::size_t count)
    {
        return static_cast<std::size_t>(uniform_unit(engine_) * double(count));
    }

    bool happens(double times_a_second)
    {
        const std::chrono::duration<double> seconds(step);
        return uniform_unit(engine_) < times_a_second * seconds.count();
    }

    duration up_to(duration longest)
    {
        return std::chrono::duration_cast<duration>(
            longest * uniform_unit(engine_));
    }

    // What may run in the window that ends at `at`, under the highest limit in
    // force in it or a holding's lifetime before.
    [[nodiscard]] double allowed(const std::string& team, time_point at) const
    {
        const auto from = at - bounds_.window - quota_times().holding_lifetime;
        double most = 0;
        const auto& changes = limits_.at(team);
        for (std::size_t i = 0; i < changes.size(); ++i)
        {
            const bool ended_before =
                i + 1 < changes.size() && changes[i + 1].at < from;
            if (changes[i].at <= at && !ended_before)
            {
                const auto& limit = changes[i].limit;
                const std::chrono::duration<double> window(bounds_.window);
                most = std::max(
                    most,
                    limit.rate * window.count() + limit.burst +
                        bounds_.excess(limit));
            }
        }
        return most;
    }

    void start(std::size_t index)
    {
        auto& host = hosts_[index];
        host.holder = std::make_unique<quota_holder>(
            host_id("h" + std::to_string(index)));
        host.asked = false;
        host.pending.clear();
        host.running.clear();
    }

    // Makes a control host the leader. The earlier one goes on until it notices
    // that no majority confirms it.
    void elect(std::size_t index)
    {
        for (auto& each : controls_)
        {
            each.acts_until = std::min(
                each.acts_until,
                clock_.now() + up_to(quota_times().ownership_lifetime));
        }
        auto& elected = controls_[index];
        const auto since =
            options_.owner_waits ? clock_.now() : clock_.now() - seconds(10);
        elected.owner = std::make_unique<quota_owner>(++term_, since, bounds_);
        elected.owner->set_limits(teams_, since);
        elected.acts_until = time_point::max();
        leader_ = index;
    }

    void cause_faults()
    {
        if (happens(0.3))
        {
            elect(pick(controls_.size()));
        }
        if (happens(0.05))
        {
            outage_until_ = clock_.now() + up_to(seconds(6));
        }
        if (happens(0.2))
        {
            change_limit();
        }
        for (std::size_t i = 0; i < hosts_.size(); ++i)
        {
            auto& host = hosts_[i];
            if (happens(0.05))
            {
                host.cut_until = clock_.now() + up_to(seconds(6));
            }
            if (happens(0.05))
            {
                host.frozen_until = clock_.now() + up_to(seconds(4));
            }
            if (happens(0.05))
            {
                ++host.run;
                start(i);
            }
        }
        if (happens(0.3))
        {
            hot_team_ = pick(teams_.size() + 1);
        }
        if (happens(0.2))
        {
            losses_ = uniform_unit(engine_) < 0.5 ? 0 : 0.3;
        }
    }

    // All control hosts that act learn of it at once.
    void change_limit()
    {
        auto& changed = teams_[pick(teams_.size())];
        const double factor = uniform_unit(engine_) < 0.5 ? 0.1 : 1.5;
        changed.limit.rate = std::max(changed.limit.rate * factor, 0.5);
        changed.limit.burst *= factor;
        limits_[changed.name].push_back({clock_.now(), changed.limit});
        for (auto& each : controls_)
        {
            if (each.owner)
            {
                each.owner->set_limits(teams_, clock_.now());
            }
        }
    }

    void deliver()
    {
        std::vector<message> due;
        std::erase_if(
            in_flight_,
            [&](message& each)
            {
                const bool is_due =
                    each.arrives <= clock_.now() &&
                    clock_.now() >= hosts_[each.daemon].cut_until &&
                    (!each.is_reply ||
                     clock_.now() >= hosts_[each.daemon].frozen_until);
                if (is_due)
                {
                    due.push_back(std::move(each));
                }
                return is_due;
            });
        for (auto& each : due)
        {
            if (uniform_unit(engine_) < losses_)
            {
                continue;
            }
            each.is_reply ? receive_reply(each) : receive_request(each);
        }
    }

    duration travel_time()
    {
        return uniform_unit(engine_) < 0.95 ? up_to(milliseconds(20))
                                            : up_to(seconds(1));
    }

    void receive_request(const message& from)
    {
        auto& control = controls_[from.control];
        message answer;
        answer.is_reply = true;
        answer.daemon = from.daemon;
        answer.run = from.run;
        answer.control = from.control;
        answer.arrives = clock_.now() + travel_time();
        answer.reply.set_sequence(from.request.sequence());
        if (clock_.now() < outage_until_)
        {
            return;
        }
        if (control.owner && clock_.now() < control.acts_until)
        {
            answer.reply = control.owner->answer(from.request, clock_.now());
        }
        in_flight_.push_back(std::move(answer));
    }

    void receive_reply(const message& from)
    {
        auto& host = hosts_[from.daemon];
        if (host.run != from.run)
        {
            return;
        }
        if (host.holder->on_reply(from.reply, clock_.now()))
        {
            host.asked = false;
        }
        else if (!from.reply.accepted())
        {
            host.believed_owner = leader_;
        }
    }

    void advance(std::size_t index)
    {
        auto& host = hosts_[index];
        const auto now = clock_.now();
        if (host.asked && now >= host.reply_due)
        {
            host.holder->on_no_reply();
            host.asked = false;
            host.believed_owner = pick(controls_.size());
        }
        send_requests(host);
        poll_pending(host);
        refund(host);
        const auto next = host.holder->next_exchange(now);
        if (next && *next <= now)
        {
            message sent;
            sent.daemon = index;
            sent.run = host.run;
            sent.control = host.believed_owner;
            sent.arrives = now + travel_time();
            sent.request =
                host.holder->make_request(incarnation(host.run), now);
            in_flight_.push_back(std::move(sent));
            host.asked = true;
            host.reply_due = now + reply_timeout;
        }
    }

    void send_requests(daemon_host& host)
    {
        for (std::size_t i = 0; i < teams_.size(); ++i)
        {
            const auto& name = teams_[i].name;
            const double usual = limits_[name].front().limit.rate / 1.6;
            const double demand = i == hot_team_ ? usual * 7 : usual;
            double expected = demand / static_cast<double>(hosts_.size());
            for (; expected > 0; expected -= most_a_host)
            {
                if (happens(std::min(expected, most_a_host)))
                {
                    send_request(host, name);
                }
            }
        }
    }

    void send_request(daemon_host& host, const std::string& team)
    {
        const auto result = host.holder->arrive(team, clock_.now());
        if (result.state == token_state::taken)
        {
            use(host, team);
        }
        else if (result.state == token_state::pending)
        {
            host.pending.push_back({team, clock_.now() + max_pending});
        }
    }

    void poll_pending(daemon_host& host)
    {
        std::erase_if(
            host.pending,
            [&](const pending_request& each)
            {
                const auto state =
                    host.holder->poll(each.team, clock_.now()).state;
                if (state == token_state::taken)
                {
                    use(host, each.team);
                }
                const bool is_late = clock_.now() >= each.until;
                if (state == token_state::pending && is_late &&
                    !options_.daemons_wait)
                {
                    use(host, each.team);
                }
                const bool ends = state != token_state::pending || is_late;
                if (ends)
                {
                    host.holder->leave(each.team);
                }
                return ends;
            });
    }

    void use(daemon_host& host, const std::string& team)
    {
        auto& uses = uses_[team];
        uses.push_back({clock_.now(), true});
        if (uniform_unit(engine_) < 0.2)
        {
            host.running.push_back(
                {team, uses.size() - 1, clock_.now() + up_to(seconds(1))});
        }
    }

    // Some requests are refused later and never run.
    void refund(daemon_host& host)
    {
        std::erase_if(
            host.running,
            [&](const running_request& each)
            {
                if (clock_.now() < each.refunded_at)
                {
                    return false;
                }
                uses_[each.team][each.use].ran = false;
                host.holder->refund(each.team, clock_.now());
                return true;
            });
    }

    const model_options options_;
    const quota_bounds bounds_;
    random_engine engine_;
    manual_clock clock_;
    std::vector<daemon_host> hosts_;
    std::vector<control_host> controls_;
    std::vector<team> teams_;
    std::map<std::string, std::vector<limit_change>> limits_;
    std::vector<message> in_flight_;
    std::map<std::string, std::vector<used_token>> uses_;
    std::uint64_t term_ = 0;
    std::size_t leader_ = 0;
    // No control host answers until then.
    time_point outage_until_;
    std::size_t hot_team_ = 0;
    double losses_ = 0;
};

} // namespace nutmegusher::quota_model

#endif
