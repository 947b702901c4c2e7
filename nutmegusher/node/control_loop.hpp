// The groups, the data folder and the connections of one control host, all on
// one thread.
#ifndef NUTMEGUSHER_NODE_CONTROL_LOOP_HPP
#define NUTMEGUSHER_NODE_CONTROL_LOOP_HPP

#include "nutmegusher/control/control.hpp"
#include "nutmegusher/node/claim_state_machine.hpp"
#include "nutmegusher/node/configuration_cache.hpp"
#include "nutmegusher/node/control_group.hpp"
#include "nutmegusher/node/control_logs.hpp"
#include "nutmegusher/node/control_transport.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace nutmegusher::node::internal
{

// The state that other threads may read at any time.
struct control_status
{
    std::vector<std::optional<asio::ip::tcp::endpoint>> claim_leaders;
    std::vector<control_address> members;
};

// Every coroutine keeps the loop alive by a shared pointer and ends soon after
// `stop`.
class control_loop : public std::enable_shared_from_this<control_loop>
{
public:
    using configuration_group = control_group<configuration_store>;
    using claim_group = control_group<claim_state_machine>;

    control_loop(
        asio::io_context& context,
        const control_settings& settings,
        file_disk target);

    // Reads the host's identity and opens the groups. Errors:
    // `storage_failure`.
    [[nodiscard]] leaf::result<void> open();

    // Starts the timers and, if the data folder is new, the founding of the
    // cluster.
    void start();
    void stop();

    // Stops, and ends everything that `start` began and all connections.
    // Requires: no coroutine of another thread waits for one of the requests
    // below.
    [[nodiscard]] asio::awaitable<void> end();

    [[nodiscard]] asio::io_context& context()
    {
        return context_;
    }

    [[nodiscard]] const configuration_cache& cache() const
    {
        return cache_;
    }

    // Safe from every thread.
    [[nodiscard]] control_status status() const;
    // Returns `replica::known_current_at` of the configuration's log.
    [[nodiscard]] time_point known_current_at() const
    {
        return time_point(duration(known_current_at_.load()));
    }

    [[nodiscard]] configuration_leadership leadership() const;

    // For operators. Kept apart from `status`, as it is much larger and each
    // sync copies the status.
    [[nodiscard]] boost::json::value state() const;

    // Requests, which run on the logs' thread; see control_requests.cpp.
    asio::awaitable<messages::change_result>
    propose_change(messages::change change, bool forward);
    asio::awaitable<messages::claim_result>
    propose_claim(messages::claim_command command, bool forward);
    asio::awaitable<messages::change_result>
    propose_withdrawal(messages::upstream_withdrawal withdrawal, bool forward);
    asio::awaitable<messages::claim_result> find_claim(messages::claim_key key);
    asio::awaitable<bool> confirm_configuration();
    asio::awaitable<messages::read_reply> confirm_leader(std::uint32_t group);
    asio::awaitable<std::string> handle_batch(std::string body);

    // See control_members.cpp.
    messages::join_reply join(const messages::join_request& request);
    asio::awaitable<replace_outcome>
    replace(host_id old_host, messages::replica_member added);
    asio::awaitable<bool>
    replace_in_group(messages::replace_request request, time_point deadline);
    messages::replace_reply
    replace_step(const messages::replace_request& request);

    // See control_voters.cpp.
    asio::awaitable<messages::admit_reply>
    admit(messages::admit_request request, bool forward);

    // See control_leaders.cpp.
    asio::awaitable<void> hand_over(duration limit);

    std::function<void(revision)> notify = [](revision) {};

private:
    // See control_loop.cpp.
    leaf::result<void> open_groups();
    asio::awaitable<void> run_ticks();
    void schedule_turn();
    void run_turn();
    void step(const messages::replica_message& message);
    void receive(const messages::replica_batch& batch);
    void update_member_addresses();
    [[nodiscard]] std::unique_ptr<claim_group>
    make_claim_group(std::uint32_t number);
    [[nodiscard]] control_group_settings group_settings(std::uint32_t number);

    // Calls `action` with each group, group 0 first.
    template <class Action>
    void for_each_group(const Action& action)
    {
        if (configuration_)
        {
            action(*configuration_);
        }
        for (auto& group : claims_)
        {
            action(*group);
        }
    }

    // Calls `action` with the replica of a group, if the group is open on this
    // host.
    template <class Action>
    void with_core(std::uint32_t number, const Action& action)
    {
        for_each_group(
            [&](auto& group)
            {
                if (group.number() == number && group.running() != nullptr)
                {
                    action(group.running()->core());
                }
            });
    }

    // See control_requests.cpp.
    [[nodiscard]] std::optional<asio::ip::tcp::endpoint>
    leader_address(std::uint32_t group);
    [[nodiscard]] bool leads(std::uint32_t group);
    // Returns true if a majority has confirmed this host's leadership recently
    // enough that no other host can lead the group.
    [[nodiscard]] bool leads_with_lease(std::uint32_t group);
    // Returns the result that this host has applied for the change's id, if
    // any.
    [[nodiscard]] std::optional<messages::change_result>
    applied_result(const messages::change& change) const;
    // Returns nullopt if no leader is known or the leader does not answer.
    asio::awaitable<std::optional<std::string>> call_leader(
        std::uint32_t group,
        std::string_view path,
        const std::string& body,
        time_point deadline);

    template <class Reply>
    asio::awaitable<std::optional<Reply>> ask_leader(
        std::uint32_t group,
        std::string_view path,
        const std::string& body,
        time_point deadline)
    {
        const auto answer = co_await call_leader(group, path, body, deadline);
        Reply reply;
        if (!answer || !reply.ParseFromString(*answer))
        {
            co_return std::nullopt;
        }
        co_return reply;
    }

    // A proposal of one entry to the log of `group`.
    struct proposal
    {
        std::uint32_t group = 0;
        messages::log_entry entry;
        // Where the leader takes `body`, which holds the same content.
        std::string_view leader_path;
        std::string body;
        time_point deadline;
        // Whether to pass it on if another host leads.
        bool forward = false;
    };

    // Proposes until there is a final verdict. Returns nullopt if there is none
    // by the deadline; the entry may be applied all the same.
    template <class Group>
    asio::awaitable<std::optional<typename Group::result_type>>
    propose_until_final(Group& group, proposal what);
    asio::awaitable<messages::change_result>
    propose_to_configuration(proposal what);

    asio::awaitable<std::optional<log_index>>
    read_index(std::uint32_t group, time_point deadline);
    asio::awaitable<void> pause(duration length);

    // See control_members.cpp.
    //
    // One of the first voters; the name is set if the settings give it.
    struct founder
    {
        std::optional<host_id> host;
        asio::ip::tcp::endpoint address;
    };

    [[nodiscard]] bool is_self(const founder& candidate) const;
    [[nodiscard]] std::vector<founder> founders() const;
    asio::awaitable<void> found_cluster();
    asio::awaitable<std::optional<messages::replica_set>> query_founders();
    asio::awaitable<bool> request_joins(const messages::replica_set& members);
    asio::awaitable<std::optional<messages::join_reply>> ask_to_join(
        asio::ip::tcp::endpoint host, const messages::join_request& request);
    [[nodiscard]] bool adopt_cluster(
        std::uint64_t cluster,
        std::uint32_t groups,
        const messages::replica_set& founding);
    [[nodiscard]] leaf::result<void>
    create_files(std::uint32_t group, const messages::replica_set& founding);

    [[nodiscard]] bool is_seed(const asio::ip::tcp::endpoint& host) const;
    [[nodiscard]] bool is_cluster_founder() const;

    // See control_voters.cpp.
    [[nodiscard]] bool is_settled_voter();
    [[nodiscard]] messages::replica_member own_member() const;
    asio::awaitable<void> ask_for_admission();
    asio::awaitable<void> ask_all_for_admission();
    [[nodiscard]] std::vector<asio::ip::tcp::endpoint> admission_hosts() const;
    [[nodiscard]] bool
    apply_admission_reply(const messages::admit_reply& reply);
    void log_not_admitted(const std::string& answers);
    void maintain_voters();
    void
    maintain_group_voters(std::uint32_t number, replica& core, time_point now);
    [[nodiscard]] std::vector<member_view>
    view_members(std::uint32_t number, const replica& core, time_point now);

    // See control_lag.cpp.
    void monitor_lags();
    void monitor_group_lag(const replica& core, time_point now);

    // See control_leaders.cpp.
    void balance_leaders();
    [[nodiscard]] bool hand_over_groups();

    // See control_state.cpp.
    void publish_leadership(const replica& core);
    void publish_status();
    [[nodiscard]] boost::json::value describe();

    asio::io_context& context_;
    control_settings settings_;
    file_disk disk_;
    random_engine engine_;
    messages::host_identity identity_;
    wire::task_group tasks_;
    control_transport transport_;
    configuration_cache cache_;
    std::unique_ptr<configuration_group> configuration_;
    std::vector<std::unique_ptr<claim_group>> claims_;
    asio::steady_timer tick_timer_;
    bool turn_scheduled_ = false;
    bool members_changed_ = false;
    bool handing_over_ = false;
    bool stopped_ = false;
    // Hosts that asked to be admitted as voters.
    struct admission_candidate
    {
        messages::replica_member member;
        time_point requested_at;
    };
    std::map<std::uint64_t, admission_candidate> candidates_;
    // While this host is not a voter: the members that replies have listed, and
    // since when no leader has registered its request.
    std::set<asio::ip::tcp::endpoint> reported_members_;
    std::optional<time_point> not_admitted_since_;
    time_point next_admission_log_{};
    // When each other member was last active, by group, while this host leads.
    std::map<std::uint32_t, std::map<replica_id, time_point>> last_active_;
    // The lag of one group: whether this host lacks entries and, while it
    // leads, which members do.
    struct group_lag_monitors
    {
        lag_monitor own;
        std::map<replica_id, lag_monitor> members;
    };
    std::map<std::uint32_t, group_lag_monitors> lags_;
    time_point next_leader_balance_{};
    time_point leader_known_at_{};
    std::atomic<duration::rep> known_current_at_ = 0;
    mutable std::mutex status_mutex_;
    control_status status_;
    configuration_leadership leadership_;
    boost::json::value state_;
};

} // namespace nutmegusher::node::internal

#endif
