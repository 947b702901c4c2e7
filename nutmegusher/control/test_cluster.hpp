// A few replicas with disks in memory and a network that loses, repeats,
// delays and reorders, for tests. Holds what must never happen against the
// replicas' own view after each step.
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

// A machine that keeps all it has applied.
class journal
{
public:
    using result_type = std::string;

    std::string apply(const messages::log_entry& entry);
    [[nodiscard]] std::string snapshot() const;
    static leaf::result<journal> restore(std::string_view bytes);

    [[nodiscard]] const std::vector<std::string>& items() const
    {
        return items_;
    }

private:
    std::vector<std::string> items_;
};

using group = replicated_group<memory_disk, journal>;

class cluster;

// One host: its disk outlives the group, which a crash destroys.
class host
{
public:
    host(cluster& owner, std::string name);

    // Opens the group from the disk; false where the storage refuses.
    bool start();
    // Power is lost: what isn't synced may be gone.
    void crash();
    // The disk is replaced by an empty one, under a new identity.
    void replace_disk();
    // Runs what is due; a storage failure stops the host.
    void process_ready();
    void tick();

    // For `replicated_group`.
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
    // Added to the cluster's time; jumps forward only.
    duration clock_offset{0};
    // Frozen: neither ticks nor receives; messages wait.
    bool frozen = false;

    // Reads begun here: how much was acknowledged by then.
    std::map<read_ticket, std::size_t> open_reads;
    std::size_t reads_done = 0;
    std::size_t reads_failed_count = 0;

private:
    cluster& owner_;
    std::string name_;
    replica_id id_;
    std::unique_ptr<group> group_;
};

// How the network treats each message.
struct network_faults
{
    std::uint32_t loss_percent = 0;
    std::uint32_t duplicate_percent = 0;
    duration max_delay = std::chrono::milliseconds(1);
};

// The line from one host to another, as `control_transport` uses it: what
// leaves in one moment travels as batches, and a batch that takes too long is
// lost whole.
struct network_link
{
    double bytes_per_second = 0;
    std::size_t batch_bytes = 8 * 1024 * 1024;
    duration max_transfer_time = std::chrono::seconds(1);
    // Set: only what goes to this host.
    std::string only_to_host = {};
};

class cluster
{
public:
    cluster(std::size_t size, std::uint64_t seed, snapshot_policy policy = {});

    // Time passes in steps of a millisecond, with ticks and deliveries.
    void run(duration length);
    // Runs until `done` or the bound; true where it was done.
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

    // A leader whose term is the highest; none where there is none.
    [[nodiscard]] host* leader();
    [[nodiscard]] host* find(replica_id id);
    host& add_host(const std::string& name);

    // Proposes an item at a host, in an entry of at least so many bytes; false
    // where it refuses.
    bool
    propose(host& at, const std::string& item, std::size_t entry_bytes = 0);
    bool read(host& at);
    // False where the host refuses it now.
    bool propose_membership(host& at, const messages::replica_set& members);
    // One step of the repair command: replaces a voter whose disk is gone by
    // the host that has its name now. True where nothing is left to do.
    bool repair(host& at);
    // Voters of the present or a proposed membership whose disk is gone.
    [[nodiscard]] std::size_t lost_voters();

    // Messages between the two sides are lost until `heal`.
    void partition(const std::set<std::string>& side);
    void heal();

    // The first thing that should never happen; empty: nothing did.
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

    // How many committed items there are up to the last acknowledged one.
    [[nodiscard]] std::size_t acknowledged_items() const
    {
        return acknowledged_at_.empty() ? 0 : acknowledged_at_.back().second;
    }

    // True where the host's state has every acknowledged item.
    [[nodiscard]] bool holds_all_acknowledged(host& at) const;

    [[nodiscard]] messages::replica_set all_voters() const;

    static constexpr duration step_length = std::chrono::milliseconds(1);

    random_engine engine;
    std::deque<host> hosts;
    network_faults faults;
    // Set: messages also take the time that their bytes take.
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
    void check_read(host& at, confirmed_read read, std::size_t known);
    void check_restored(const host& at, const std::vector<std::string>& items);
    void fail(const std::string& what);

    // What waits for a line, and until when the line is taken.
    struct link_state
    {
        std::vector<envelope> waiting;
        time_point free_at;
    };

    std::multimap<time_point, envelope> network_;
    std::map<std::pair<std::string, std::string>, link_state> links_;
    std::set<std::string> partitioned_;
    // What stands at each committed index; the first host to apply decides.
    std::map<log_index, std::string> committed_;
    // Committed items in order, for what a snapshot must hold.
    std::vector<std::string> committed_items_;
    std::map<log_term, replica_id> leaders_;
    // The latest membership that anyone has applied, and its index.
    messages::replica_set members_;
    log_index members_index_ = 0;
    // Proposed since then.
    std::vector<messages::replica_set> pending_members_;
    // Proposed here: index -> (term, item), per proposer.
    std::map<std::string, std::map<log_index, std::pair<log_term, std::string>>>
        pending_proposals_;
    std::set<std::string> acknowledged_;
    // When something was acknowledged, and how many committed items there were
    // up to it; rising in both.
    std::vector<std::pair<time_point, std::size_t>> acknowledged_at_;
    std::string violation_;
};

} // namespace nutmegusher::control_test

#endif
