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
    // The connection closed before the clean end of the stream.
    cut,
    // The peer reset the stream.
    reset,
    // REFUSED_STREAM, GOAWAY, or never sent: the peer certainly didn't process
    // the request.
    refused,
    // The connection went silent and was closed.
    silent,
    // The deadline of the stream or of the call has passed.
    timed_out,
    // The peer violated HTTP/2 or sent a body that doesn't match its
    // content-length.
    protocol,
    // A size or count exceeded its limit.
    too_large,
    // Cancelled on this side.
    cancelled,
    // No connection could be made: the peer certainly didn't process the
    // request.
    not_connected,
    // A call was answered, but not with status 200.
    bad_status
};

// Returns the enumerator's name, for logs and dumps.
[[nodiscard]] std::string_view to_string(stream_failure failure);

std::ostream& operator<<(std::ostream& out, stream_failure failure);

// Returns true if the peer certainly didn't begin to process the request.
[[nodiscard]] constexpr bool certainly_not_processed(stream_failure failure)
{
    return failure == stream_failure::refused ||
           failure == stream_failure::not_connected;
}

// Thrown by `outcome<T, stream_failure>::value()` when it holds a failure.
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
