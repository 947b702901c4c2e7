// The record format of files. A frame is a magic number, a length, a checksum
// over length and content, and the content. Everything that one sync makes
// durable is one frame, so a crash can leave only the last frame incomplete.
#ifndef NUTMEGUSHER_CONTROL_FRAME_HPP
#define NUTMEGUSHER_CONTROL_FRAME_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/control/storage_error.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegusher
{

// Bytes that a frame adds to its content.
inline constexpr std::size_t frame_overhead = 16;

// Appends one frame to `target`. Requires: content is below 2 GiB.
void append_frame(std::string& target, std::string_view content);

// The result of scanning a file of frames.
struct frame_scan
{
    // Views into the scanned bytes.
    std::vector<std::string_view> contents;
    // Total bytes of the intact frames; the rest is a torn tail.
    std::uint64_t intact_size = 0;
};

// Reads all frames of `bytes`. Fails with `storage_failure` `bad_checksum` and
// the offset if an intact frame follows a damaged one: then acknowledged data
// is damaged, and the damage isn't a torn tail.
[[nodiscard]] leaf::result<frame_scan>
scan_frames(std::string_view bytes, std::string_view file);

// The content of a file that must be exactly one frame. Fails with
// `bad_checksum`.
[[nodiscard]] leaf::result<std::string_view>
single_frame(std::string_view bytes, std::string_view file);

} // namespace nutmegusher

#endif
