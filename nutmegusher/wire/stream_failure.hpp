// Why a stream, or the attempt to open one, failed.
#ifndef NUTMEGUSHER_WIRE_STREAM_FAILURE_HPP
#define NUTMEGUSHER_WIRE_STREAM_FAILURE_HPP

#include <boost/assert/source_location.hpp>

#include <cstdint>
#include <exception>
#include <iosfwd>
#include <string_view>

namespace nutmegusher::wire
{

enum class stream_failure : std::uint8_t
{
    // The connection was lost before the clean end of the stream.
    cut,
    // The peer reset the stream.
    reset,
    // REFUSED_STREAM, GOAWAY, or never sent: certainly not processed.
    refused,
    // The connection went silent and was given up.
    silent,
    // The deadline of the stream or of the call has passed.
    timed_out,
    // The peer broke HTTP/2, or its content-length.
    protocol,
    // A size or count passed its limit.
    too_large,
    // Cancelled on this side.
    cancelled,
    // No connection could be made: certainly not processed.
    not_connected,
    // A call was answered, but not with status 200.
    bad_status
};

// The enumerator's name, for logs and dumps.
[[nodiscard]] std::string_view to_string(stream_failure failure);

std::ostream& operator<<(std::ostream& out, stream_failure failure);

// True where the peer certainly didn't begin to process the request.
[[nodiscard]] constexpr bool certainly_not_processed(stream_failure failure)
{
    return failure == stream_failure::refused ||
           failure == stream_failure::not_connected;
}

// What `outcome<T, stream_failure>::value()` throws where there is none.
class stream_failed : public std::exception
{
public:
    explicit stream_failed(stream_failure failure)
        : failure_(failure)
    {
    }

    [[nodiscard]] stream_failure failure() const
    {
        return failure_;
    }

    [[nodiscard]] const char* what() const noexcept override
    {
        return "stream failed";
    }

private:
    stream_failure failure_;
};

[[noreturn]] void throw_exception_from_error(
    stream_failure failure, const boost::source_location& where);

} // namespace nutmegusher::wire

#endif
