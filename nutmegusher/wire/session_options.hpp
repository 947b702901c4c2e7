// Limits and timeouts of a session. Each end has its own.
#ifndef NUTMEGUSHER_WIRE_SESSION_OPTIONS_HPP
#define NUTMEGUSHER_WIRE_SESSION_OPTIONS_HPP

#include "nutmegusher/base/clock.hpp"

#include <cstddef>
#include <cstdint>

namespace nutmegusher::wire
{

struct session_options
{
    // A PING is sent when nothing was received for this long while streams are
    // open.
    duration ping_interval = std::chrono::milliseconds(500);
    // `ping_interval` for a session without open streams. A PING and its answer
    // cost about 200 bytes including packet headers, so 100 idle sessions cost
    // 2 KB/s.
    duration idle_ping_interval = std::chrono::seconds(10);
    // A session becomes suspect when a PING is unanswered for this long: it
    // gets no new streams until something is received again. Longer than the
    // first two TCP retransmission timeouts (200 ms and 400 ms), so that one
    // lost packet isn't taken for silence.
    duration silence_timeout = std::chrono::seconds(1);
    // The ping interval and silence timeout while a stream waits for an answer
    // that is due soon. The session's retryable streams then fail with `silent`
    // as soon as it is suspect. Calls have a time limit of 0.7 s or more, so
    // enough time is left to run the call elsewhere. Longer than one TCP
    // retransmission timeout; a second consecutive packet loss costs a retry.
    duration urgent_ping_interval = std::chrono::milliseconds(150);
    duration urgent_silence_timeout = std::chrono::milliseconds(300);
    // A peer from which data was received within this window counts as alive,
    // see `client_session::confirm`. Much shorter than the time to detect a
    // silent session, and longer than the pauses of a busy one.
    duration recent_receive_window = std::chrono::milliseconds(50);
    // How long `confirm` waits. Longer than a round trip between regions, but
    // short enough to try several lost hosts within one call's target latency.
    // A lost packet, which TCP retransmits after 200 ms, makes the caller
    // choose another peer.
    duration confirm_timeout = std::chrono::milliseconds(150);
    // How long after a lost peer other peers may be lost too, because hosts
    // fail together, as a rack or a data centre. Applies to peers from which
    // nothing was received since. Longer than TCP and the ticks take to detect
    // a silent session.
    duration loss_retention = std::chrono::seconds(3);
    // When a session has been suspect for this long, its open streams fail with
    // `silent` and the connection is closed.
    duration give_up_timeout = std::chrono::seconds(2);
    // Time from the start of the connect until the peer's SETTINGS arrive.
    duration connect_timeout = std::chrono::seconds(1);
    // The part of `connect_timeout` allowed for the TCP connect. A host without
    // power drops the first SYN, and TCP retransmits it only after a second: a
    // new connect reaches the host up to 0.7 s sooner. Equals seven round trips
    // between regions.
    duration tcp_connect_timeout = std::chrono::milliseconds(300);
    // For this long after a failed connect the pool fails requests for the same
    // endpoint at once, so that callers move on to another upstream.
    duration connect_backoff = std::chrono::milliseconds(100);
    // A client session that had no stream for this long is closed.
    duration idle_timeout = std::chrono::seconds(60);
    // How long a closing server connection waits for the peer to receive the
    // last bytes.
    duration linger_timeout = std::chrono::seconds(1);

    // Flow-control window of a stream: the bandwidth-delay product of 1 Gbit/s
    // and the 2 ms round trip between data centres, which is 250 KB.
    std::uint32_t stream_window = 256 * 1024;
    // Flow-control window of a connection; bounds the memory that one
    // connection uses for unread data.
    std::uint32_t connection_window = 1024 * 1024;
    // Bytes that a stream may buffer for sending before `write` waits.
    std::size_t max_write_buffer_bytes = 64 * 1024;
    // Streams that the peer may have open at once; further ones are refused.
    std::uint32_t max_concurrent_streams = 256;
    // Total size of the names and values in one head, plus 32 bytes for each
    // field.
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint32_t max_frame_bytes = 16 * 1024;
    // PING, SETTINGS, PRIORITY, RST_STREAM and empty DATA frames that a peer
    // may send per second; more close the connection. Well above the resets of
    // a burst of cancellations at the call rate that one core serves.
    std::uint32_t max_control_frames_per_second = 20000;
    // Maximum sessions of a pool with one endpoint. Another session is opened
    // when the others have no free stream.
    std::size_t max_sessions_per_endpoint = 4;
    // Maximum connections of a server; further ones are closed at once.
    std::size_t max_connections = 8192;
};

} // namespace nutmegusher::wire

#endif
