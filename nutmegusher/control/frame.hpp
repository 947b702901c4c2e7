// Frames: how records stand in a file. A frame is a mark, a length, a checksum
// over length and content, and the content. All that one sync makes durable is
// one frame, so that a crash can leave only the last frame incomplete.
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

// Bytes that a frame takes beside its content.
inline constexpr std::size_t frame_overhead = 16;

// Appends one frame to `target`. Requires: content is below 2 GiB.
void append_frame(std::string& target, std::string_view content);

// What a file of frames holds.
struct frame_scan
{
    // Views into the scanned bytes.
    std::vector<std::string_view> contents;
    // Bytes of whole frames; what follows is a torn tail.
    std::uint64_t intact_size = 0;
};

// Reads all frames of `bytes`. Fails with `storage_failure` `bad_checksum`,
// with the offset, where a damaged frame is followed by an intact one: then
// acknowledged data is damaged, and it isn't a torn tail.
[[nodiscard]] leaf::result<frame_scan>
scan_frames(std::string_view bytes, std::string_view file);

// The content of a file that is exactly one frame. Fails with `bad_checksum`.
[[nodiscard]] leaf::result<std::string_view>
single_frame(std::string_view bytes, std::string_view file);

} // namespace nutmegusher

#endif
