// Classes of HTTP status codes (RFC 9110, section 15). Parsers of messages take
// any three digits; a number of neither class isn't a status.
#ifndef NUTMEGUSHER_BASE_HTTP_STATUS_HPP
#define NUTMEGUSHER_BASE_HTTP_STATUS_HPP

namespace nutmegusher
{

// The final answer to the request is still to come.
[[nodiscard]] constexpr bool is_interim_status(unsigned status)
{
    constexpr unsigned first = 100;
    constexpr unsigned last = 199;
    return status >= first && status <= last;
}

[[nodiscard]] constexpr bool is_final_status(unsigned status)
{
    constexpr unsigned first = 200;
    constexpr unsigned last = 599;
    return status >= first && status <= last;
}

} // namespace nutmegusher

#endif
