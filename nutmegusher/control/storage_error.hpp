// Errors of reading and writing the files of a data folder.
#ifndef NUTMEGUSHER_CONTROL_STORAGE_ERROR_HPP
#define NUTMEGUSHER_CONTROL_STORAGE_ERROR_HPP

#include <cstdint>
#include <string>

namespace nutmegusher
{

enum class storage_fault : std::uint8_t
{
    cannot_open, // the folder or a file
    in_use,      // another process holds the folder
    read_failed,
    write_failed,
    full,         // the disk is full; nothing was acknowledged
    sync_failed,  // unknown what is durable: the process must not continue
    bad_checksum, // in the middle of a file: acknowledged data is damaged
    bad_content,  // the checksum matches, but the content can't be parsed
    missing,      // a required file doesn't exist
    other_host    // the folder belongs to another host
};

// A storage error and where it happened.
struct storage_failure
{
    storage_fault fault;
    // Relative to the data folder.
    std::string file;
    // Byte position of a damaged record; otherwise 0.
    std::uint64_t offset = 0;
    // The system's error number (errno); 0 if there is none.
    int code = 0;
};

} // namespace nutmegusher

#endif
