// A simulated cluster for tests: replicas with in-memory disks and a network
// that loses, duplicates, delays and reorders messages. Checks Raft's safety
// properties after each step.
#ifndef NUTMEGUSHER_CONTROL_TEST_CLUSTER_HPP
#define NUTMEGUSHER_CONTROL_TEST_CLUSTER_HPP

#include "nutmegusher/control/control.hpp"
#include "nutmegusher/control/memory_disk.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegusher::control_test
{

// A state machine that keeps every applied item.
class item_recorder
{
public:
    using result_type = std::string;

    std::string apply(const messages::log_entry& entry);
    [[nodiscard]] std::string snapshot() const;
    static leaf::result<item_recorder> restore(std::string_view bytes);

    [[nodiscard]] const std::vector<std::string>& items() const
    {
        return items_;
    }

private:
    std::vector<std::string> items_;
};

using group = replicated_group<memory_disk, item_recorder>;

class cluster;

// One host. A crash destroys its group; its disk stays.
class host
{
public:
    host(cluster& owner, std::string name);

    // Opens the group from the disk; false if the storage fails.
    bool start();
    // Simulates a power loss: data that isn't synced may be lost.
    void crash();
    // Crashes and replaces the disk by an empty one; the next start creates a
    // new identity.
    void replace_disk();
    // Processes all pending work; a storage failure stops the host.
    void process_ready();
    void tick();

    // The concept `group_listener`, for `replicated_group`.
    void send(const messages::replica_message& message);
    void applied(const messages::log_entry& entry, const std::string& item);
    void members_changed(const messages::replica_set& members);
    void restored();
    void read_confirmed(confirmed_read read);
    void read_failed(read_ticket ticket);
    void leadership_changed(leadership present);

    [[nodiscard]] bool up() const
    {
        return group_ != nullptr;
    }

    [[nodiscard]] group& running()
    {
        return *group_;
    }

    [[nodiscard]] const group& running() const
    {
        return *group_;
    }

    [[nodiscard]] bool leads() const
    {
        return up() && group_->core().role() == replica_role::leader;
    }

    [[nodiscard]] replica_id id() const
    {
        return id_;
    }

    [[nodiscard]] const std::string& name() const
    {
        return name_;
    }

    memory_disk disk;
    // Added to the cluster's time; only ever increases.
    duration clock_offset{0};
    // If true, the host is suspended: it neither ticks nor receives, and its
    // messages are delivered later.
    bool frozen = false;

    // Pending reads, each with the number of committed items up to the last one
    // that was acknowledged when the read began.
    std::map<read_ticket, std::size_t> open_reads;
    std::size_t reads_done = 0;
    std::size_t reads_failed_count = 0;

private:
    cluster& owner_;
    std::string name_;
    replica_id id_;
    std::unique_ptr<group> group_;
};

// Faults that the network applies to each message.
struct network_faults
{
    std::uint32_t loss_percent = 0;
    std::uint32_t duplicate_percent = 0;
    duration max_delay = std::chrono::milliseconds(1);
};

// Models the link from one host to another as `control_transport` uses it:
// messages sent at the same time travel in batches, and a batch whose transfer
// takes too long is lost as a whole.
struct network_link
{
    double bytes_per_second = 0;
    std::size_t batch_bytes = 8 * 1024 * 1024;
    duration max_transfer_time = std::chrono::seconds(1);
    // If set, only messages to this host use the link.
    std::string only_to_host = {};
};

class cluster
{
public:
    cluster(std::size_t size, std::uint64_t seed, snapshot_policy policy = {});

    // Advances time in steps of a millisecond, with ticks and deliveries.
    void run(duration length);
    // Runs until `done()` or the time limit; returns `done()`.
    template <class Condition>
    bool
    run_until(const Condition& done, duration bound = std::chrono::seconds(30))
    {
        for (duration spent{0}; spent < bound; spent += step_length)
        {
            if (done())
            {
                return true;
            }
            run(step_length);
        }
        return done();
    }

    // The leader with the highest term; null if there is none.
    [[nodiscard]] host* leader();
    [[nodiscard]] host* find(replica_id id);
    host& add_host(const std::string& name);

    // Proposes an item at a host, in an entry of at least `entry_bytes`; false
    // if the host refuses it.
    bool
    propose(host& at, const std::string& item, std::size_t entry_bytes = 0);
    bool read(host& at);
    // False if the host refuses the change.
    bool propose_membership(host& at, const messages::replica_set& members);
    // Executes one step of the repair command, which replaces a voter whose
    // disk is lost by the host that now has its name. True if nothing is left
    // to repair.
    bool repair(host& at);
    // Number of voters of the present or a proposed membership whose disk is
    // lost.
    [[nodiscard]] std::size_t lost_voters();

    // Drops all messages between `side` and the other hosts until `heal`.
    void partition(const std::set<std::string>& side);
    void heal();

    // Description of the first safety violation; empty if there is none.
    [[nodiscard]] const std::string& violation() const
    {
        return violation_;
    }

    [[nodiscard]] bool acknowledged(const std::string& item) const
    {
        return acknowledged_.contains(item);
    }

    [[nodiscard]] std::size_t acknowledged_count() const
    {
        return acknowledged_.size();
    }

    // Number of committed items up to the last acknowledged one.
    [[nodiscard]] std::size_t acknowledged_items() const
    {
        return acknowledged_at_.empty() ? 0 : acknowledged_at_.back().second;
    }

    // True if the host's state contains every acknowledged item.
    [[nodiscard]] bool holds_all_acknowledged(host& at) const;

    [[nodiscard]] messages::replica_set all_voters() const;

    static constexpr duration step_length = std::chrono::milliseconds(1);

    random_engine engine;
    std::deque<host> hosts;
    network_faults faults;
    // If set, messages travel over links of limited bandwidth; of `faults` only
    // the loss applies to them.
    std::optional<network_link> link;
    snapshot_policy policy;
    replica_timing timing;
    time_point now{std::chrono::hours(1)};

private:
    friend class host;

    struct envelope
    {
        messages::replica_message message;
        std::string from;
        std::string to;
    };

    void
    post(const std::string& from, const messages::replica_message& message);
    void send_on_links();
    void deliver();
    void record_applied(host& at, const messages::log_entry& entry);
    void record_acknowledged(const std::string& item);
    void check_freshness(const host& at);
    void record_leader(host& at);
    void check_read(host& at, confirmed_read read, std::size_t expected);
    void check_restored(const host& at, const std::vector<std::string>& items);
    void fail(const std::string& what);

    // Messages waiting for a link, and when the link is free again.
    struct link_state
    {
        std::vector<envelope> waiting;
        time_point free_at;
    };

    std::multimap<time_point, envelope> network_;
    std::map<std::pair<std::string, std::string>, link_state> links_;
    std::set<std::string> partitioned_;
    // Term and item at each committed index, as the first host applied it.
    std::map<log_index, std::string> committed_;
    // Committed items in log order; every state must be a prefix of them.
    std::vector<std::string> committed_items_;
    std::map<log_term, replica_id> leaders_;
    // The latest membership that any host has applied, and its index.
    messages::replica_set members_;
    log_index members_index_ = 0;
    // Memberships proposed since then.
    std::vector<messages::replica_set> pending_members_;
    // Proposals that aren't acknowledged yet: index -> (term, item), per
    // proposing host.
    std::map<std::string, std::map<log_index, std::pair<log_term, std::string>>>
        pending_proposals_;
    std::set<std::string> acknowledged_;
    // Times of acknowledgements, each with the number of committed items up to
    // the latest acknowledged one; increasing in both fields.
    std::vector<std::pair<time_point, std::size_t>> acknowledged_at_;
    std::string violation_;
};

} // namespace nutmegusher::control_test

#endif
