// Maintains the voters without an operator: hosts ask to be admitted, and
// leaders bring their groups to the configured number of voters.
#include "nutmegusher/node/control_loop.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace nutmegusher::node::internal
{

namespace
{

// Between two admission requests of a host that is not a voter yet.
constexpr duration admission_interval = std::chrono::milliseconds(250);
constexpr duration admission_timeout = std::chrono::milliseconds(500);
// A seed waits this long for the cluster to be founded before it asks other
// hosts whether there already is one.
constexpr duration founding_delay = std::chrono::seconds(5);
// How long a host remains a candidate after its last request. It repeats the
// request several times within this time.
constexpr duration candidate_lifetime = std::chrono::seconds(2);
// A voter that has known no leader for this long asks as well: it may have been
// removed while it was partitioned.
constexpr duration leaderless_limit = std::chrono::seconds(2);

// A host that no leader has registered by then writes a log event, and repeats
// it at the interval below. Normally a host is admitted within two seconds.
constexpr duration admission_log_after = std::chrono::seconds(3);
constexpr duration admission_log_interval = std::chrono::seconds(10);
// Limits the members that replies may report; a cluster has 23 control hosts at
// most.
constexpr std::size_t max_reported_members = 64;

bool contains_voter(const messages::replica_set& members, std::uint64_t id)
{
    return std::any_of(
        members.members().begin(),
        members.members().end(),
        [id](const auto& member)
        {
            return member.identity() == id && member.voter();
        });
}

} // namespace

// Returns whether this host votes in each log and has recently known a leader.
bool control_loop::is_settled_voter()
{
    if (identity_.cluster() == 0 || !configuration_)
    {
        return false;
    }
    bool settled = true;
    for_each_group(
        [&](auto& group)
        {
            const bool votes =
                group.running() != nullptr &&
                contains_voter(
                    group.running()->core().members(), identity_.identity());
            settled = settled && votes;
        });
    return settled && host_clock().now() - leader_known_at_ < leaderless_limit;
}

messages::replica_member control_loop::own_member() const
{
    messages::replica_member member;
    member.set_identity(identity_.identity());
    member.set_host(settings_.self.str());
    member.set_address(to_text(settings_.address));
    return member;
}

asio::awaitable<void> control_loop::ask_for_admission()
{
    const auto self = shared_from_this();
    const bool is_founder = settings_.bootstrap && is_seed(settings_.address);
    if (is_founder)
    {
        co_await pause(founding_delay);
    }
    while (!stopped_)
    {
        if (!is_settled_voter())
        {
            co_await ask_all_for_admission();
        }
        co_await pause(admission_interval);
    }
}

// Returns the seeds and all members that this host knows or that replies have
// reported, without duplicates.
std::vector<asio::ip::tcp::endpoint> control_loop::admission_hosts() const
{
    std::set<asio::ip::tcp::endpoint> hosts(
        settings_.seeds.begin(), settings_.seeds.end());
    for (const auto& member : status().members)
    {
        hosts.insert(member.address);
    }
    hosts.insert(reported_members_.begin(), reported_members_.end());
    hosts.erase(settings_.address);
    return {hosts.begin(), hosts.end()};
}

// Asks one host after the other until a leader has registered the request.
//
// Pattern of failure: two hosts lose their disks at once, and each is the first
// one that the other asks. Both know the cluster's number, but neither is a
// member. When a reply with nothing but that number ended the round, the leader
// never learned of the two hosts, and the next loss cost the majority.
asio::awaitable<void> control_loop::ask_all_for_admission()
{
    std::string answers;
    for (const auto& host : admission_hosts())
    {
        messages::admit_request request;
        *request.mutable_member() = own_member();
        request.set_cluster(identity_.cluster());
        const auto body = request.SerializeAsString();
        const auto answer = co_await wire::call(
            transport_.sessions(),
            host,
            "/control/admit",
            body,
            admission_timeout);
        messages::admit_reply reply;
        if (stopped_)
        {
            co_return;
        }
        const bool answered = answer && reply.ParseFromString(*answer);
        answers += answers.empty() ? "" : ", ";
        answers += to_text(host) + (answered ? " no leader" : " no answer");
        if (answered && apply_admission_reply(reply))
        {
            not_admitted_since_.reset();
            co_return;
        }
    }
    log_not_admitted(answers);
}

// Returns true if a leader has registered the request.
bool control_loop::apply_admission_reply(const messages::admit_reply& reply)
{
    for (const auto& text : reply.members())
    {
        const auto address = parse_endpoint(text);
        if (address && reported_members_.size() < max_reported_members)
        {
            reported_members_.insert(*address);
        }
    }
    if (identity_.cluster() == 0 && reply.cluster() != 0)
    {
        const messages::replica_set unknown;
        static_cast<void>(
            adopt_cluster(reply.cluster(), reply.groups(), unknown));
    }
    return reply.taken() && reply.cluster() == identity_.cluster();
}

void control_loop::log_not_admitted(const std::string& answers)
{
    const auto now = host_clock().now();
    if (!not_admitted_since_)
    {
        not_admitted_since_ = now;
        next_admission_log_ = now + admission_log_after;
    }
    if (now < next_admission_log_)
    {
        return;
    }
    next_admission_log_ = now + admission_log_interval;
    using std::chrono::milliseconds;
    const auto waited =
        std::chrono::duration_cast<milliseconds>(now - *not_admitted_since_);
    log_event(
        event::control_host_not_admitted,
        {{"cluster", identity_.cluster()},
         {"for_ms", static_cast<std::uint64_t>(waited.count())},
         {"asked", answers}});
}

asio::awaitable<messages::admit_reply>
control_loop::admit(messages::admit_request request, bool forward)
{
    const auto self = shared_from_this();
    messages::admit_reply reply;
    reply.set_cluster(identity_.cluster());
    reply.set_groups(identity_.groups());
    for (const auto& member : status().members)
    {
        reply.add_members(to_text(member.address));
    }
    if (identity_.cluster() == 0 || request.cluster() != identity_.cluster())
    {
        co_return reply;
    }
    const auto id = request.member().identity();
    candidates_[id] = {request.member(), host_clock().now()};
    const auto body = request.SerializeAsString();
    bool taken = true;
    bool leads_any = false;
    for (std::uint32_t group = 0; group < identity_.groups(); ++group)
    {
        const bool led_here = leads_with_lease(group);
        bool accepted_by_leader = false;
        if (!led_here && forward)
        {
            const auto deadline = host_clock().now() + admission_timeout;
            const auto leader_reply =
                co_await ask_leader<messages::admit_reply>(
                    group, "/control/lead/admit", body, deadline);
            accepted_by_leader = leader_reply && leader_reply->taken();
        }
        taken = taken && (led_here || accepted_by_leader);
        leads_any = leads_any || led_here;
    }
    reply.set_taken(forward ? taken : leads_any);
    co_return reply;
}

// Maintains the groups that this host leads; called several times a second.
void control_loop::maintain_voters()
{
    if (settings_.voters == 0 || handing_over_)
    {
        return;
    }
    const auto now = host_clock().now();
    std::erase_if(
        candidates_,
        [now](const auto& item)
        {
            return now - item.second.requested_at > candidate_lifetime;
        });
    for_each_group(
        [&](auto& group)
        {
            if (group.running() != nullptr)
            {
                maintain_group_voters(
                    group.number(), group.running()->core(), now);
            }
        });
}

void control_loop::maintain_group_voters(
    std::uint32_t number, replica& core, time_point now)
{
    if (!core.holds_lease(now))
    {
        last_active_.erase(number);
        return;
    }
    const auto view = view_members(number, core, now);
    if (!core.members_committed())
    {
        return;
    }
    std::vector<messages::replica_member> candidates;
    for (const auto& [id, candidate] : candidates_)
    {
        candidates.push_back(candidate.member);
    }
    voter_goal goal;
    goal.voters = settings_.voters;
    auto next = next_membership(goal, view, candidates);
    if (!next)
    {
        return;
    }
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_CHECK(core.propose_members(*std::move(next), now));
            return {};
        },
        // Refused for now; the next call tries again.
        [] {});
    members_changed_ = true;
    schedule_turn();
}

std::vector<member_view> control_loop::view_members(
    std::uint32_t number, const replica& core, time_point now)
{
    auto& last_active = last_active_[number];
    const auto progress = core.progress(now);
    std::vector<member_view> view;
    for (const auto& member : core.members().members())
    {
        member_view member_state;
        member_state.member = member;
        const replica_id id(member.identity());
        if (id == core.id())
        {
            member_state.caught_up = true;
            view.push_back(member_state);
            continue;
        }
        const auto known = std::find_if(
            progress.begin(),
            progress.end(),
            [id](const auto& each)
            {
                return each.id == id;
            });
        const bool active = known != progress.end() && known->recently_active;
        auto& last = last_active.emplace(id, now).first->second;
        last = active ? now : last;
        member_state.silent_for = now - last;
        member_state.caught_up = is_caught_up(core, id, now);
        view.push_back(member_state);
    }
    return view;
}

} // namespace nutmegusher::node::internal
