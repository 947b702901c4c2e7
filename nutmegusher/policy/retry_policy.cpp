#include "nutmegusher/policy/retry_policy.hpp"

#include "nutmegusher/policy/retry_after_schedule.hpp"

#include <algorithm>

namespace nutmegusher
{

namespace
{

constexpr std::uint32_t max_pause_doublings = 6;

// If two upstreams in succession refuse, the whole service is considered
// overloaded; the levels known of the others may be slightly outdated.
constexpr std::uint32_t max_refused_tries = 2;

} // namespace

retry_decision decide_retry(const failed_try& failed, random_engine& engine)
{
    if (!failed.repeatable && !failed.certainly_not_run)
    {
        return no_retry{no_retry_reason::may_have_run};
    }
    if (failed.how == try_failure::deadline ||
        failed.time_left <= failed.expected_time)
    {
        return no_retry{no_retry_reason::no_time};
    }
    const bool service_full =
        !failed.has_alternative || failed.tries > max_refused_tries - 1;
    const bool is_overloaded =
        failed.how == try_failure::overload && service_full;
    if (is_overloaded || failed.how == try_failure::overload_deeper)
    {
        return no_retry{no_retry_reason::overloaded};
    }
    if (failed.tokens == 0)
    {
        return no_retry{no_retry_reason::no_tokens};
    }
    if (failed.has_alternative)
    {
        return retry_at_once{};
    }
    const std::uint32_t doublings =
        std::min(std::max(failed.tries, 1U) - 1, max_pause_doublings);
    const duration pause = jittered(first_pause * (1U << doublings), engine);
    if (failed.time_left - pause <= failed.expected_time)
    {
        return no_retry{no_retry_reason::no_time};
    }
    return retry_after{pause};
}

token_split split_tokens(std::uint32_t tokens)
{
    const std::uint32_t kept = tokens >= 2 ? 1 : 0;
    return {kept, tokens - kept};
}

} // namespace nutmegusher
