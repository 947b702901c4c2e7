// The replicated logs on a control host: the configuration and the claims.
//
// Drives the groups of the package `control` on one thread over files and
// connections. All functions but `create` are safe from every thread; the
// coroutines run where they are awaited and hop to the logs' own thread.
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
    // Its own peer listener.
    asio::ip::tcp::endpoint address;
    // The control hosts of the very first start; the first one named founds
    // the cluster once all the others have answered. Later without meaning.
    std::vector<named_address> initial;
    // Peer listeners of some control hosts. Where `initial` is empty and
    // `bootstrap` is set, these are the founders; later a host that is no voter
    // asks them, and whoever else it knows, to be made one.
    std::vector<asio::ip::tcp::endpoint> seeds;
    // The very first start: a cluster may be founded.
    bool bootstrap = false;
    // How many voters the leaders keep by themselves; 0: operators replace
    // hosts.
    std::size_t voters = 0;
    // Fixed for ever by the founder.
    std::uint32_t claim_groups = 4;
    replica_timing timing;
    snapshot_policy snapshots;
};

// The addresses of the control hosts now.
struct control_address
{
    host_id host;
    asio::ip::tcp::endpoint address;
};

enum class replace_outcome : std::uint8_t
{
    replaced,
    new_host_unreachable,
    // Another host answers at that address.
    wrong_host,
    // The new host's data folder belongs to another cluster; empty it first.
    foreign_data_folder,
    // No leader, or the new host doesn't catch up: run the command again, it
    // goes on where it was.
    timed_out
};

[[nodiscard]] std::string_view to_string(replace_outcome outcome);

class control_logs
{
public:
    // Opens the data folder and starts on `context`, which one thread runs and
    // which outlives the logs. Fails with `storage_failure`: then nothing has
    // started.
    [[nodiscard]] static leaf::result<std::unique_ptr<control_logs>>
    create(asio::io_context& context, const control_settings& settings);

    control_logs(const control_logs&) = delete;
    control_logs& operator=(const control_logs&) = delete;
    // Requires: the context's thread has ended, or this is it.
    ~control_logs();

    // Accepted, or refused for good, by a majority; `change_unavailable` where
    // it isn't known: resend with the same change id.
    [[nodiscard]] asio::awaitable<messages::change_result>
    propose_change(messages::change change);

    // `claim_unavailable` where the outcome isn't known: resend.
    [[nodiscard]] asio::awaitable<messages::claim_result>
    claim(messages::claim_command command);

    // What is known of a key, by a linearizable read; `claim_unavailable`
    // where no majority answers.
    [[nodiscard]] asio::awaitable<messages::claim_result>
    find_claim(messages::claim_key key);

    // Waits until `present` is at least what a majority had accepted when this
    // was called. False: no majority answers.
    [[nodiscard]] asio::awaitable<bool> confirm_configuration();

    // What this host has applied; linearizable only after a confirmation.
    [[nodiscard]] revision at() const;
    [[nodiscard]] messages::configuration present() const;
    [[nodiscard]] messages::configuration_delta since(revision from) const;
    // Oldest first, the newest `limit` ones.
    [[nodiscard]] std::vector<messages::accepted_change>
    history(std::size_t limit) const;

    // Called on the logs' thread after each new revision. Set it before the
    // context runs.
    void on_revision(std::function<void(revision)> notify);

    // By claim group, from 1; nothing where no leader is known.
    [[nodiscard]] std::vector<std::optional<asio::ip::tcp::endpoint>>
    claim_leaders() const;

    // What this host runs holds all that a majority had accepted at this
    // moment of the host's clock; the clock's start: nothing is proved yet.
    [[nodiscard]] time_point known_current_at() const;

    // The members of the configuration's group.
    [[nodiscard]] std::vector<control_address> members() const;

    // Members, leaders, terms and indexes of each log, as of a moment ago.
    [[nodiscard]] boost::json::value state() const;

    // The repair command: the new host catches up as a learner, becomes a
    // voter, and the old one is removed, in every group. Idempotent; from any
    // control host. Both may have one name: a host whose disk was lost.
    [[nodiscard]] asio::awaitable<replace_outcome> replace_member(
        host_id old_host, host_id new_host, asio::ip::tcp::endpoint address);

    // For a planned stop: others lead from now on. Returns when they do, or
    // after `limit`.
    [[nodiscard]] asio::awaitable<void> hand_over(duration limit);

    // Serves the streams of this package below "/control/". False: the path is
    // none of its own, and nothing was read or written.
    [[nodiscard]] asio::awaitable<bool>
    handle(std::shared_ptr<wire::server_stream> stream);

private:
    explicit control_logs(std::shared_ptr<internal::control_loop> loop);

    std::shared_ptr<internal::control_loop> loop_;
};

} // namespace nutmegusher::node

#endif
