#include "testing/process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

extern char** environ;

namespace nutmegusher::test_support
{

using boost::system::error_code;

namespace
{

constexpr std::chrono::milliseconds poll_period(10);
constexpr mode_t log_mode = 0644;
// Runs a program that is killed when its parent exits; on every Debian system.
constexpr const char* setpriv_path = "/usr/bin/setpriv";

error_code system_error(int number)
{
    return {number, boost::system::system_category()};
}

// A value of /proc/<id>/status, KiB.
std::uint64_t status_kib(pid_t id, std::string_view name)
{
    std::istringstream status(
        read_file("/proc/" + std::to_string(id) + "/status"));
    std::string token;
    while (status >> token)
    {
        if (token == name)
        {
            std::uint64_t kib = 0;
            status >> kib;
            return kib;
        }
    }
    return 0;
}

} // namespace

outcome<temporary_folder, error_code> temporary_folder::make()
{
    std::string name =
        (std::filesystem::temp_directory_path() / "nutmegusher-XXXXXX");
    if (::mkdtemp(name.data()) == nullptr)
    {
        return system_error(errno);
    }
    const auto remove = [](const std::string* folder)
    {
        std::error_code ignored;
        std::filesystem::remove_all(*folder, ignored);
        delete folder;
    };
    return temporary_folder(
        std::shared_ptr<const std::string>(new std::string(name), remove));
}

temporary_folder::temporary_folder(std::shared_ptr<const std::string> folder)
    : folder_(std::move(folder))
{
}

std::string temporary_folder::path(std::string_view name) const
{
    return *folder_ + "/" + std::string(name);
}

outcome<std::unique_ptr<child_process>, error_code> child_process::start(
    const std::string& program,
    const std::vector<std::string>& arguments,
    const std::string& log)
{
    std::vector<std::string> command{
        setpriv_path, "--pdeathsig", "KILL", program};
    command.insert(command.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(command.size() + 1);
    for (auto& token : command)
    {
        pointers.push_back(token.data());
    }
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions,
        STDOUT_FILENO,
        log.c_str(),
        O_WRONLY | O_CREAT | O_APPEND,
        log_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // Otherwise the child would inherit sockets of stand-ins in this process.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t id = 0;
    const int failed = posix_spawn(
        &id, setpriv_path, &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
    {
        return system_error(failed);
    }
    return std::unique_ptr<child_process>(new child_process(id));
}

child_process::child_process(pid_t id)
    : id_(id)
{
}

child_process::~child_process()
{
    kill();
}

void child_process::signal(int number)
{
    if (running())
    {
        last_signal_ = number;
        ::kill(id_, number);
    }
}

void child_process::kill()
{
    signal(SIGKILL);
    if (!exit_)
    {
        int status = 0;
        ::waitpid(id_, &status, 0);
        exit_ = process_exit{-SIGKILL};
    }
}

void child_process::freeze()
{
    signal(SIGSTOP);
}

void child_process::thaw()
{
    signal(SIGCONT);
}

bool child_process::running()
{
    int status = 0;
    if (!exit_ && ::waitpid(id_, &status, WNOHANG) == id_)
    {
        exit_ = process_exit{
            WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status)};
    }
    return !exit_;
}

bool child_process::crashed()
{
    return !running() && exit_->code < 0 && exit_->code != -last_signal_;
}

std::optional<process_exit>
child_process::wait_exit(std::chrono::milliseconds limit)
{
    const bool ended = wait_until(
        [this]
        {
            return !running();
        },
        limit);
    return ended ? exit_ : std::nullopt;
}

pid_t child_process::id() const
{
    return id_;
}

std::uint64_t child_process::peak_memory_kib() const
{
    return status_kib(id_, "VmHWM:");
}

std::uint64_t child_process::resident_memory_kib() const
{
    return status_kib(id_, "VmRSS:");
}

std::size_t child_process::open_descriptors() const
{
    std::error_code failed;
    const std::filesystem::directory_iterator open(
        "/proc/" + std::to_string(id_) + "/fd", failed);
    return failed ? 0 : std::distance(begin(open), end(open));
}

std::chrono::milliseconds child_process::processor_time() const
{
    const std::string text =
        read_file("/proc/" + std::to_string(id_) + "/stat");
    // The name in parentheses may contain spaces; fields 14 and 15 follow it.
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    constexpr int fields_before_user_time = 11;
    std::string skipped;
    for (int i = 0; i < fields_before_user_time; ++i)
    {
        fields >> skipped;
    }
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    constexpr std::int64_t ms_per_second = 1000;
    return std::chrono::milliseconds(
        (user + system) * ms_per_second / ::sysconf(_SC_CLK_TCK));
}

bool wait_until(
    const std::function<bool()>& condition, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() >= end)
        {
            return false;
        }
        std::this_thread::sleep_for(poll_period);
    }
    return true;
}

std::string program_path(std::string_view name)
{
    const auto self = std::filesystem::read_symlink("/proc/self/exe");
    return self.parent_path() / name;
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace nutmegusher::test_support
