#include "nutmegusher/wire/stream_failure.hpp"

#include <ostream>

namespace nutmegusher::wire
{

std::string_view to_string(stream_failure failure)
{
    switch (failure)
    {
    case stream_failure::cut:
        return "cut";
    case stream_failure::reset:
        return "reset";
    case stream_failure::refused:
        return "refused";
    case stream_failure::silent:
        return "silent";
    case stream_failure::timed_out:
        return "timed_out";
    case stream_failure::protocol:
        return "protocol";
    case stream_failure::too_large:
        return "too_large";
    case stream_failure::cancelled:
        return "cancelled";
    case stream_failure::not_connected:
        return "not_connected";
    case stream_failure::bad_status:
        return "bad_status";
    }
    return "unknown";
}

std::ostream& operator<<(std::ostream& out, stream_failure failure)
{
    return out << to_string(failure);
}

void throw_exception_from_error(
    stream_failure failure, const boost::source_location& /*where*/)
{
    throw stream_failed(failure);
}

} // namespace nutmegusher::wire
