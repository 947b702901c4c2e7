// The tokens that one daemon holds: see `quota_owner`.
//
//     quota_holder tokens(host, run);
//     switch (tokens.arrive(team, now).state)
//     {
//     case token_state::taken: serve();       // later maybe `refund`
//     case token_state::refused: refuse();
//     case token_state::pending: ...          // ask `poll` again, then `leave`
//     }
//     if (now >= tokens.next_exchange(now))
//         send(tokens.make_request(now));
//     tokens.on_reply(reply, now);            // or on_no_reply()
//
// At most one request is in flight; a reply to an earlier one has no effect.
// Without an owner the tokens at hand still let requests in, until they end.
//
// Times are of a clock that keeps running while the host is suspended.
#ifndef NUTMEGUSHER_TEAMS_QUOTA_HOLDER_HPP
#define NUTMEGUSHER_TEAMS_QUOTA_HOLDER_HPP

#include "nutmegusher/messages/quota.pb.h"
#include "nutmegusher/teams/quota.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace nutmegusher
{

enum class token_state : std::uint8_t
{
    // The request took a token.
    taken,
    // The team has used its quota.
    refused,
    // The owner has to be asked.
    pending
};

struct token_result
{
    token_state state = token_state::pending;
    // For a refused request: when its caller may come back.
    duration retry_after{0};
};

class quota_holder
{
public:
    explicit quota_holder(host_id self, const quota_times& times = {});

    // Decides on a request of the team. If it is pending, it counts as waiting
    // until `leave`.
    [[nodiscard]] token_result arrive(const std::string& team, time_point now);

    // Asks again for a request that waits.
    [[nodiscard]] token_result poll(const std::string& team, time_point now);

    // A request no longer waits.
    void leave(const std::string& team);

    // Gives a token back whose request didn't run and won't. Without effect if
    // the owner has already been told that it is used.
    void refund(const std::string& team, time_point now);

    // When the next request to the owner is due; nothing while one is in flight
    // or nothing has to be asked.
    [[nodiscard]] std::optional<time_point> next_exchange(time_point now) const;

    // Makes the next request, which is in flight from now on.
    [[nodiscard]] messages::quota_request
    make_request(incarnation run, time_point now);

    // Applies a reply. Returns false if it isn't the current owner's, or not
    // for the request in flight.
    bool on_reply(const messages::quota_reply& reply, time_point now);

    // The request in flight was lost, or its reply.
    void on_no_reply();

    [[nodiscard]] bool is_in_flight() const
    {
        return in_flight_;
    }

    // When the last request was made.
    [[nodiscard]] time_point last_exchange() const
    {
        return sent_at_;
    }

    // Gives all tokens back with the next request, and takes no more.
    void stop();

    // Tokens that are held, over all teams.
    [[nodiscard]] double held(time_point now) const;

    // Number of teams that are tracked.
    [[nodiscard]] std::size_t teams() const
    {
        return stocks_.size();
    }

    // Between two requests while tokens are used, and while they are only held.
    static constexpr duration refill_interval = std::chrono::milliseconds(200);
    static constexpr duration renewal_interval = std::chrono::milliseconds(800);
    // Between two requests while callers wait.
    static constexpr duration min_interval = std::chrono::milliseconds(5);
    // After a request without a reply.
    static constexpr duration retry_interval = std::chrono::milliseconds(50);

private:
    struct stock
    {
        std::uint32_t held = 0;
        // Since the last reply; the first `reported` of them are in a request
        // that was sent since.
        std::uint32_t used = 0;
        std::uint32_t reported = 0;
        std::uint32_t waiting = 0;
        // Arrivals a second, an exponential moving average.
        double demand = 0;
        time_point demand_at;
        time_point refused_until;
        duration retry_after{0};
    };

    [[nodiscard]] token_result take(stock& from, time_point now);
    void expire(time_point now);
    void forget_idle(time_point now);
    [[nodiscard]] static double demand_of(const stock& of, time_point now);
    [[nodiscard]] std::uint32_t
    target_of(const stock& of, time_point now) const;

    host_id self_;
    quota_times times_;
    std::unordered_map<std::string, stock> stocks_;
    std::uint64_t term_ = 0;
    std::uint64_t sequence_ = 0;
    bool in_flight_ = false;
    bool stopped_ = false;
    // The last request may not have been answered.
    bool failed_ = false;
    time_point sent_at_;
    // When the tokens end.
    time_point expires_at_;
};

} // namespace nutmegusher

#endif
