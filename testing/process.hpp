// Process driver: start, signal, wait, read the logs.
#ifndef NUTMEGUSHER_TESTING_PROCESS_HPP
#define NUTMEGUSHER_TESTING_PROCESS_HPP

#include "nutmegusher/base/base.hpp"

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace nutmegusher::test_support
{

// A folder that is removed on destruction.
class temporary_folder
{
public:
    [[nodiscard]] static outcome<temporary_folder, boost::system::error_code>
    make();

    // "<folder>/<name>"
    [[nodiscard]] std::string path(std::string_view name) const;

private:
    explicit temporary_folder(std::shared_ptr<const std::string> folder);

    std::shared_ptr<const std::string> folder_;
};

struct process_exit
{
    // Exit code, or the negative number of the signal that ended it.
    int code = 0;
};

// A child process, killed and reaped on destruction. The kernel also kills it
// if the thread that started it exits.
class child_process
{
public:
    // `arguments` excludes the program's name. Standard output and standard
    // error are appended to the file `log`.
    [[nodiscard]] static outcome<
        std::unique_ptr<child_process>,
        boost::system::error_code>
    start(
        const std::string& program,
        const std::vector<std::string>& arguments,
        const std::string& log);

    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    // Does nothing if the process has ended.
    void signal(int number);

    // Sends SIGKILL and waits for the exit.
    void kill();
    // SIGSTOP and SIGCONT.
    void freeze();
    void thaw();

    // Empty if it still runs after `limit`.
    std::optional<process_exit> wait_exit(std::chrono::milliseconds limit);

    [[nodiscard]] bool running();
    // Ended by a signal that this object didn't send.
    [[nodiscard]] bool crashed();
    [[nodiscard]] pid_t id() const;

    // Peak resident memory, KiB; 0 if unknown.
    [[nodiscard]] std::uint64_t peak_memory_kib() const;
    // Current resident memory, KiB; 0 if unknown.
    [[nodiscard]] std::uint64_t resident_memory_kib() const;
    // Number of open descriptors; 0 if unknown.
    [[nodiscard]] std::size_t open_descriptors() const;
    // Processor time used up to now.
    [[nodiscard]] std::chrono::milliseconds processor_time() const;

private:
    explicit child_process(pid_t id);

    pid_t id_;
    int last_signal_ = 0;
    std::optional<process_exit> exit_;
};

// Polls `condition` until it is true; false after `limit`.
[[nodiscard]] bool wait_until(
    const std::function<bool()>& condition,
    std::chrono::milliseconds limit = std::chrono::seconds(30));

// The path of a program in the folder of the running one.
[[nodiscard]] std::string program_path(std::string_view name);

[[nodiscard]] std::string read_file(const std::string& path);

} // namespace nutmegusher::test_support

#endif
