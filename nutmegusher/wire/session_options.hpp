// Limits and times of a session. Both ends have their own.
#ifndef NUTMEGUSHER_WIRE_SESSION_OPTIONS_HPP
#define NUTMEGUSHER_WIRE_SESSION_OPTIONS_HPP

#include "nutmegusher/base/clock.hpp"

#include <cstddef>
#include <cstdint>

namespace nutmegusher::wire
{

struct session_options
{
    // Nothing received for so long while streams are open: a PING is sent.
    duration ping_interval = std::chrono::milliseconds(500);
    // The same while no stream is open. A PING and its answer cost about 200
    // bytes with the packets' headers, so 100 idle sessions cost 2 KB/s.
    duration idle_ping_interval = std::chrono::seconds(10);
    // A PING unanswered for so long makes the session suspect: no new
    // streams, until something is received again. Above two retransmission
    // timeouts of TCP (200 ms and 400 ms), so that one lost packet isn't
    // taken for silence.
    duration silence_timeout = std::chrono::seconds(1);
    // The same while a stream waits for an answer that is due soon, and then
    // its streams that can be sent again elsewhere fail with `silent` as soon
    // as the session is suspect: of a call's time limit, 0.7 s and more at the
    // users', enough is left to run it. Above one retransmission timeout of
    // TCP; a second packet lost in a row costs a repeat.
    duration urgent_ping_interval = std::chrono::milliseconds(150);
    duration urgent_silence_timeout = std::chrono::milliseconds(300);
    // A peer that was heard from so lately is taken to be there: see
    // `client_session::confirm`. Far below the time in which a silent session
    // is found out, and above the pauses of a busy one.
    duration recent_receive_window = std::chrono::milliseconds(50);
    // How long `confirm` waits. Above a round trip between regions; several
    // hosts that are gone may have to be asked within one call's target. A lost
    // packet that TCP repeats after 200 ms costs the choice of another peer.
    duration confirm_timeout = std::chrono::milliseconds(150);
    // Hosts are lost together, as a rack or a data centre: so long after one
    // was, others that weren't heard from since may be gone as well. Above the
    // time in which TCP and the ticks find a silent session out.
    duration loss_retention = std::chrono::seconds(3);
    // Suspect for so long: the open streams fail with `silent` and the
    // connection is closed.
    duration give_up_timeout = std::chrono::seconds(2);
    // From the start of connecting to the peer's SETTINGS.
    duration connect_timeout = std::chrono::seconds(1);
    // Of that, for the connection itself. A host without power drops the first
    // packet, and TCP sends the next one after a second: a new connect finds
    // the host up to 0.7 s sooner. Seven round trips between regions.
    duration tcp_connect_timeout = std::chrono::milliseconds(300);
    // After a connect failed the pool fails the same endpoint at once for so
    // long, so that callers move on to another upstream.
    duration connect_backoff = std::chrono::milliseconds(100);
    // A client session without a stream for so long is closed.
    duration idle_timeout = std::chrono::seconds(60);
    // How long the close waits for the peer to see the last bytes.
    duration linger_timeout = std::chrono::seconds(1);

    // What a peer may send on one stream before it is read: 1 Gbit/s times
    // the 2 ms round trip between data centres, which is 250 KB.
    std::uint32_t stream_window = 256 * 1024;
    // What a peer may send on all streams before it is read: bounds the
    // memory of one connection.
    std::uint32_t connection_window = 1024 * 1024;
    // Bytes that one stream's writer may leave to be sent.
    std::size_t max_write_buffer_bytes = 64 * 1024;
    // Streams that the peer may have open at once; more are refused.
    std::uint32_t max_concurrent_streams = 256;
    // Names and values of one head, with 32 bytes for each field.
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint32_t max_frame_bytes = 16 * 1024;
    // PING, SETTINGS, PRIORITY, RST_STREAM and empty DATA frames that a peer
    // may send in a second; more close the connection. Well above the resets
    // of a burst of cancellations at the rate of calls that one core serves.
    std::uint32_t max_control_frames_per_second = 20000;
    // Sessions of a pool with one endpoint; another one is opened where the
    // others have no free stream.
    std::size_t max_sessions_per_endpoint = 4;
    // Connections that one server holds; more are closed at once.
    std::size_t max_connections = 8192;
};

} // namespace nutmegusher::wire

#endif
