// The replicated logs on a control host: the configuration and the claims.
//
// Runs the groups of the package `control` on one thread over files and
// connections. All functions but `create` are safe from every thread; the
// coroutines may be awaited on any executor and switch to the logs' thread
// internally.
//
//     BOOST_LEAF_AUTO(logs, control_logs::create(context, settings));
//     std::thread thread([&] { context.run(); });
//     const auto result = co_await logs->propose_change(change);
#ifndef NUTMEGUSHER_NODE_CONTROL_LOGS_HPP
#define NUTMEGUSHER_NODE_CONTROL_LOGS_HPP

#include "nutmegusher/control/control.hpp"
#include "nutmegusher/messages/execution.pb.h"
#include "nutmegusher/node/settings.hpp"
#include "nutmegusher/wire/wire.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace nutmegusher::node
{

namespace asio = boost::asio;

namespace internal
{
class control_loop;
} // namespace internal

struct control_settings
{
    std::filesystem::path data_folder;
    host_id self;
    // The address of this host's peer listener.
    asio::ip::tcp::endpoint address;
    // The control hosts of the first start. The first one listed founds the
    // cluster once all others have answered. Ignored after that.
    std::vector<named_address> initial;
    // Peer listeners of some control hosts. If `initial` is empty and
    // `bootstrap` is set, these are the founders. Later a host that is not a
    // voter asks them, and all other hosts that it knows, to be admitted as
    // one.
    std::vector<asio::ip::tcp::endpoint> seeds;
    // Set on the first start only: allows this host to found a cluster.
    bool bootstrap = false;
    // The number of voters that the leaders maintain automatically. 0:
    // operators replace hosts.
    std::size_t voters = 0;
    // Set by the founder; cannot be changed later.
    std::uint32_t claim_groups = 4;
    replica_timing timing;
    snapshot_policy snapshots;
};

// The name and the address of a control host.
struct control_address
{
    host_id host;
    asio::ip::tcp::endpoint address;
};

// Who leads the configuration's log, as far as this host knows.
struct configuration_leadership
{
    std::uint64_t term = 0;
    std::optional<asio::ip::tcp::endpoint> leader;
    // Set if this host leads: see `replica::leadership_confirmed_at`.
    std::optional<time_point> confirmed_at;
};

enum class replace_outcome : std::uint8_t
{
    replaced,
    new_host_unreachable,
    // A different host answers at that address.
    wrong_host,
    // The new host's data folder belongs to another cluster and must be emptied
    // first.
    foreign_data_folder,
    // There is no leader, or the new host does not catch up. Run the command
    // again: it continues where it stopped.
    timed_out
};

[[nodiscard]] std::string_view to_string(replace_outcome outcome);

class control_logs
{
public:
    // Opens the data folder and starts on `context`. Requires: one thread runs
    // the context, which outlives the logs. Errors: `storage_failure`; then
    // nothing has started.
    [[nodiscard]] static leaf::result<std::unique_ptr<control_logs>>
    create(asio::io_context& context, const control_settings& settings);

    control_logs(const control_logs&) = delete;
    control_logs& operator=(const control_logs&) = delete;
    // Requires: the context's thread has ended, or is the calling thread.
    ~control_logs();

    // Ends the timers, connections and coroutines on the logs' thread, after
    // which the context has nothing left to run. Runs on that thread.
    // Requires: no call of the functions below is in progress.
    [[nodiscard]] asio::awaitable<void> end();

    // Returns the verdict of a majority: accepted, or finally refused. Returns
    // `change_unavailable` if the outcome is unknown: resend with the same
    // change id.
    [[nodiscard]] asio::awaitable<messages::change_result>
    propose_change(messages::change change);

    // Stores that an upstream has left its host; accepted once a majority has
    // it. Returns `change_unavailable` if the outcome is unknown: resend.
    [[nodiscard]] asio::awaitable<messages::change_result>
    withdraw(messages::upstream_withdrawal withdrawal);

    // Returns `claim_unavailable` if the outcome is unknown: resend.
    [[nodiscard]] asio::awaitable<messages::claim_result>
    claim(messages::claim_command command);

    // Looks a key up by a linearizable read. Returns `claim_unavailable` if no
    // majority answers.
    [[nodiscard]] asio::awaitable<messages::claim_result>
    find_claim(messages::claim_key key);

    // Waits until `present` includes everything that a majority had accepted
    // when this was called. Returns false if no majority answers.
    [[nodiscard]] asio::awaitable<bool> confirm_configuration();

    // The state that this host has applied; linearizable only after
    // `confirm_configuration`.
    [[nodiscard]] revision at() const;
    [[nodiscard]] messages::configuration present() const;
    [[nodiscard]] messages::configuration_delta since(revision from) const;
    // The upstreams that have left the host; linearizable only after
    // `confirm_configuration`.
    [[nodiscard]] std::vector<messages::upstream_withdrawal>
    withdrawals_of(const std::string& host) const;
    // Returns the most recent `limit` changes, oldest first.
    [[nodiscard]] std::vector<messages::accepted_change>
    history(std::size_t limit) const;

    // Sets a callback that runs on the logs' thread after each new revision.
    // Requires: the context does not run yet.
    void on_revision(std::function<void(revision)> notify);

    // Returns the leaders of the claim groups, starting with group 1; nullopt
    // where no leader is known.
    [[nodiscard]] std::vector<std::optional<asio::ip::tcp::endpoint>>
    claim_leaders() const;

    // Returns a time on this host's clock: the state of this host includes
    // everything that a majority had accepted by then. The clock's epoch means
    // that nothing is proved yet.
    [[nodiscard]] time_point known_current_at() const;

    [[nodiscard]] configuration_leadership leadership() const;

    // Returns the members of the configuration's group.
    [[nodiscard]] std::vector<control_address> members() const;

    // Returns the members, leaders, terms and indexes of each log, as of the
    // last status update (about every 100 ms).
    [[nodiscard]] boost::json::value state() const;

    // Replaces a member in every group: the new host catches up as a learner
    // and becomes a voter, then the old one is removed. Idempotent; may run on
    // any control host. Both hosts may have the same name, as when a host has
    // lost its disk.
    [[nodiscard]] asio::awaitable<replace_outcome> replace_member(
        host_id old_host, host_id new_host, asio::ip::tcp::endpoint address);

    // Transfers all leaderships to other hosts before a planned stop. Returns
    // when that is done, or after `limit`.
    [[nodiscard]] asio::awaitable<void> hand_over(duration limit);

    // Serves the paths of this package below "/control/". Returns false if the
    // path is another one; then nothing was read or written.
    [[nodiscard]] asio::awaitable<bool>
    handle(std::shared_ptr<wire::server_stream> stream);

private:
    explicit control_logs(std::shared_ptr<internal::control_loop> loop);

    std::shared_ptr<internal::control_loop> loop_;
};

} // namespace nutmegusher::node

#endif
