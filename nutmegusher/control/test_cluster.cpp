#include "nutmegusher/control/test_cluster.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace nutmegusher::control_test
{

namespace
{

constexpr char separator = '\n';

} // namespace

std::string item_recorder::apply(const messages::log_entry& entry)
{
    items_.push_back(entry.configuration_change().change_id());
    return items_.back();
}

std::string item_recorder::snapshot() const
{
    std::string bytes;
    for (const auto& item : items_)
    {
        bytes += item + separator;
    }
    return bytes;
}

leaf::result<item_recorder> item_recorder::restore(std::string_view bytes)
{
    item_recorder restored;
    while (!bytes.empty())
    {
        const auto end = bytes.find(separator);
        restored.items_.emplace_back(bytes.substr(0, end));
        bytes.remove_prefix(end + 1);
    }
    return restored;
}

host::host(cluster& owner, std::string name)
    : owner_(owner)
    , name_(std::move(name))
{
}

bool host::start()
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_AUTO(
                identity, load_identity(disk, host_id(name_), owner_.engine));
            id_ = replica_id(identity.identity());
            replica_settings settings;
            settings.self = id_;
            settings.timing = owner_.timing;
            BOOST_LEAF_ASSIGN(
                group_,
                group::open(
                    settings,
                    owner_.policy,
                    disk,
                    false,
                    owner_.engine,
                    owner_.now + clock_offset));
            owner_.check_restored(*this, group_->machine().items());
            return true;
        },
        []
        {
            return false;
        });
}

void host::crash()
{
    group_.reset();
    open_reads.clear();
    owner_.pending_proposals_.erase(name_);
    disk.crash(owner_.engine);
    frozen = false;
}

void host::replace_disk()
{
    crash();
    disk.wipe();
}

void host::process_ready()
{
    if (!up())
    {
        return;
    }
    const bool succeeded = leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_CHECK(
                group_->process_ready(*this, owner_.now + clock_offset));
            return true;
        },
        []
        {
            return false;
        });
    if (!succeeded)
    {
        group_.reset();
        open_reads.clear();
        owner_.pending_proposals_.erase(name_);
    }
}

void host::tick()
{
    if (up() && !frozen)
    {
        group_->core().tick(owner_.now + clock_offset);
        process_ready();
    }
}

void host::send(const messages::replica_message& message)
{
    owner_.post(name_, message);
}

void host::applied(const messages::log_entry& entry, const std::string& item)
{
    owner_.record_applied(*this, entry);
    const auto waiting = owner_.pending_proposals_.find(name_);
    if (waiting == owner_.pending_proposals_.end())
    {
        return;
    }
    const auto position = waiting->second.find(entry.index());
    if (position == waiting->second.end())
    {
        return;
    }
    if (position->second.first == entry.term())
    {
        owner_.record_acknowledged(item);
    }
    waiting->second.erase(position);
}

void host::members_changed(const messages::replica_set& members)
{
    if (group_->applied() > owner_.members_index_)
    {
        owner_.members_index_ = group_->applied();
        owner_.members_ = members;
        owner_.pending_members_.clear();
    }
}

void host::restored()
{
    owner_.check_restored(*this, group_->machine().items());
}

void host::read_confirmed(confirmed_read read)
{
    const auto open = open_reads.find(read.ticket);
    if (open != open_reads.end())
    {
        owner_.check_read(*this, read, open->second);
        open_reads.erase(open);
        ++reads_done;
    }
}

void host::read_failed(read_ticket ticket)
{
    open_reads.erase(ticket);
    ++reads_failed_count;
}

void host::leadership_changed(leadership present)
{
    if (present.leader == id_)
    {
        owner_.record_leader(*this);
    }
}

cluster::cluster(std::size_t size, std::uint64_t seed, snapshot_policy given)
    : engine(seed)
    , policy(given)
{
    for (std::size_t i = 0; i < size; ++i)
    {
        auto& added = add_host("h" + std::to_string(i + 1));
        if (!added.start())
        {
            fail("a host failed to start on an empty disk");
        }
    }
    auto& first_host = hosts.front();
    first_host.crash();
    const bool bootstrapped = leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            members_ = all_voters();
            BOOST_LEAF_CHECK(group::bootstrap(first_host.disk, 0, members_));
            return true;
        },
        []
        {
            return false;
        });
    if (!bootstrapped || !first_host.start())
    {
        fail("the group failed to bootstrap");
    }
}

host& cluster::add_host(const std::string& name)
{
    return hosts.emplace_back(*this, name);
}

messages::replica_set cluster::all_voters() const
{
    messages::replica_set members;
    for (const auto& each : hosts)
    {
        auto& member = *members.add_members();
        member.set_identity(each.id().value());
        member.set_host(each.name());
        member.set_voter(true);
    }
    return members;
}

bool cluster::holds_all_acknowledged(host& at) const
{
    const auto& items = at.running().machine().items();
    const std::set<std::string> held(items.begin(), items.end());
    return std::includes(
        held.begin(), held.end(), acknowledged_.begin(), acknowledged_.end());
}

void cluster::run(duration length)
{
    const auto end = now + length;
    while (now < end)
    {
        now += step_length;
        send_on_links();
        deliver();
        for (auto& each : hosts)
        {
            each.tick();
        }
        for (const auto& each : hosts)
        {
            check_freshness(each);
        }
    }
}

void cluster::deliver()
{
    while (!network_.empty() && network_.begin()->first <= now)
    {
        const auto next = std::move(network_.begin()->second);
        network_.erase(network_.begin());
        if (partitioned_.contains(next.from) != partitioned_.contains(next.to))
        {
            continue;
        }
        auto* target = find(replica_id(next.message.to()));
        if (target == nullptr || !target->up())
        {
            continue;
        }
        if (target->frozen)
        {
            network_.emplace(now + step_length, next);
            continue;
        }
        target->running().core().step(next.message, now + target->clock_offset);
        target->process_ready();
    }
}

void cluster::post(
    const std::string& from, const messages::replica_message& message)
{
    const auto* target = find(replica_id(message.to()));
    if (target == nullptr || uniform_below(engine, 100) < faults.loss_percent)
    {
        return;
    }
    if (link &&
        (link->only_to_host.empty() || link->only_to_host == target->name()))
    {
        links_[{from, target->name()}].waiting.push_back(
            {message, from, target->name()});
        return;
    }
    const auto jitter = static_cast<std::uint64_t>(faults.max_delay.count());
    const auto copies =
        uniform_below(engine, 100) < faults.duplicate_percent ? 2 : 1;
    for (int i = 0; i < copies; ++i)
    {
        const duration delay(
            static_cast<duration::rep>(uniform_below(engine, jitter + 1)));
        network_.emplace(now + delay, envelope{message, from, target->name()});
    }
}

void cluster::send_on_links()
{
    for (auto& [ends, each] : links_)
    {
        auto waiting = std::exchange(each.waiting, {});
        for (std::size_t next = 0; next < waiting.size();)
        {
            const auto first = next;
            std::size_t bytes = 0;
            while (next < waiting.size() && bytes < link->batch_bytes)
            {
                bytes += waiting[next++].message.ByteSizeLong();
            }
            const std::chrono::duration<double> seconds(
                static_cast<double>(bytes) / link->bytes_per_second);
            const auto begins = std::max(now, each.free_at);
            const auto arrives =
                begins + std::chrono::duration_cast<duration>(seconds);
            const auto given_up = now + link->max_transfer_time;
            each.free_at = std::min(arrives, std::max(begins, given_up));
            for (auto at = first; arrives <= given_up && at < next; ++at)
            {
                network_.emplace(arrives, std::move(waiting[at]));
            }
        }
    }
}

host* cluster::leader()
{
    host* best = nullptr;
    for (auto& each : hosts)
    {
        if (each.leads() &&
            (best == nullptr ||
             each.running().core().term() > best->running().core().term()))
        {
            best = &each;
        }
    }
    return best;
}

host* cluster::find(replica_id id)
{
    const auto found = std::find_if(
        hosts.begin(),
        hosts.end(),
        [id](const host& each)
        {
            return each.id() == id;
        });
    return found == hosts.end() ? nullptr : &*found;
}

bool cluster::propose(
    host& at, const std::string& item, std::size_t entry_bytes)
{
    if (!at.up() || at.frozen)
    {
        return false;
    }
    messages::log_entry entry;
    entry.mutable_configuration_change()->set_change_id(item);
    entry.mutable_configuration_change()->set_author(
        std::string(entry_bytes, 'x'));
    const auto position = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<proposal_position>>
        {
            BOOST_LEAF_AUTO(
                made,
                at.running().core().propose(entry, now + at.clock_offset));
            return std::optional(made);
        },
        []
        {
            return std::optional<proposal_position>();
        });
    if (!position)
    {
        return false;
    }
    pending_proposals_[at.name()][position->index] = {position->term, item};
    at.process_ready();
    return true;
}

bool cluster::read(host& at)
{
    if (!at.up() || at.frozen)
    {
        return false;
    }
    const auto ticket = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<read_ticket>>
        {
            BOOST_LEAF_AUTO(
                made, at.running().core().read(now + at.clock_offset));
            return std::optional(made);
        },
        []
        {
            return std::optional<read_ticket>();
        });
    if (!ticket)
    {
        return false;
    }
    std::size_t expected = 0;
    for (std::size_t i = 0; i < committed_items_.size(); ++i)
    {
        if (acknowledged_.contains(committed_items_[i]))
        {
            expected = i + 1;
        }
    }
    at.open_reads[*ticket] = expected;
    at.process_ready();
    return true;
}

bool cluster::propose_membership(host& at, const messages::replica_set& members)
{
    if (!at.up() || at.frozen)
    {
        return false;
    }
    const bool done = leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_CHECK(at.running().core().propose_members(
                members, now + at.clock_offset));
            return true;
        },
        []
        {
            return false;
        });
    if (done)
    {
        pending_members_.push_back(members);
    }
    at.process_ready();
    return done;
}

bool cluster::repair(host& at)
{
    if (!at.leads() || at.frozen)
    {
        return false;
    }
    const auto& core = at.running().core();
    for (auto& each : hosts)
    {
        replacement wanted;
        wanted.old_host = host_id(each.name());
        wanted.added.set_identity(each.id().value());
        wanted.added.set_host(each.name());
        const auto time = now + at.clock_offset;
        const auto step = next_step(
            core.members(), wanted, is_caught_up(core, each.id(), time));
        if (step == replacement_step::done)
        {
            continue;
        }
        if (const auto changed = membership_after(core.members(), wanted, step))
        {
            propose_membership(at, *changed);
        }
        return false;
    }
    return core.members_committed();
}

std::size_t cluster::lost_voters()
{
    auto all = pending_members_;
    all.push_back(members_);
    std::set<std::uint64_t> lost;
    for (const auto& set : all)
    {
        for (const auto& member : set.members())
        {
            if (member.voter() &&
                find(replica_id(member.identity())) == nullptr)
            {
                lost.insert(member.identity());
            }
        }
    }
    return lost.size();
}

void cluster::partition(const std::set<std::string>& side)
{
    partitioned_ = side;
}

void cluster::heal()
{
    partitioned_.clear();
}

void cluster::record_applied(host& at, const messages::log_entry& entry)
{
    const auto text = std::to_string(entry.term()) + "/" +
                      entry.configuration_change().change_id();
    const auto [expected, added] = committed_.emplace(entry.index(), text);
    if (!added && expected->second != text)
    {
        fail(
            at.name() + " applied " + text + ", but " + expected->second +
            " was committed at that index");
    }
    if (added)
    {
        committed_items_.push_back(entry.configuration_change().change_id());
    }
    check_restored(at, at.running().machine().items());
}

void cluster::record_acknowledged(const std::string& item)
{
    acknowledged_.insert(item);
    const auto place =
        std::find(committed_items_.rbegin(), committed_items_.rend(), item);
    const auto count =
        static_cast<std::size_t>(std::distance(place, committed_items_.rend()));
    const auto before =
        acknowledged_at_.empty() ? 0 : acknowledged_at_.back().second;
    acknowledged_at_.emplace_back(now, std::max(before, count));
}

// A host must hold every item that was acknowledged before its
// `known_current_at`.
void cluster::check_freshness(const host& at)
{
    if (!at.up())
    {
        return;
    }
    const auto as_of = at.running().core().known_current_at() - at.clock_offset;
    const auto later = std::partition_point(
        acknowledged_at_.begin(),
        acknowledged_at_.end(),
        [as_of](const auto& each)
        {
            return each.first < as_of;
        });
    const auto count =
        later == acknowledged_at_.begin() ? 0 : std::prev(later)->second;
    if (at.running().machine().items().size() < count)
    {
        fail(
            at.name() +
            " lacks an item acknowledged before its known_current_at");
    }
}

void cluster::check_restored(
    const host& at, const std::vector<std::string>& items)
{
    const bool is_prefix =
        items.size() <= committed_items_.size() &&
        (items.empty() || items.back() == committed_items_[items.size() - 1]);
    if (!is_prefix)
    {
        fail(at.name() + " holds a state that was never committed");
    }
}

void cluster::record_leader(host& at)
{
    auto& core = at.running().core();
    const auto [expected, added] = leaders_.emplace(core.term(), at.id());
    if (!added && expected->second != at.id())
    {
        fail("two leaders in term " + std::to_string(core.term()));
    }
}

void cluster::check_read(host& at, confirmed_read read, std::size_t expected)
{
    auto& running = at.running();
    if (running.applied() < read.index ||
        running.machine().items().size() < expected)
    {
        fail(at.name() + " answered a read from a stale state");
    }
}

void cluster::fail(const std::string& what)
{
    if (violation_.empty())
    {
        violation_ = what;
    }
}

} // namespace nutmegusher::control_test
