// Voters without an operator: hosts ask to become one, and leaders bring the
// groups to their number of voters.
#include "nutmegusher/node/control_loop.hpp"

#include <algorithm>
#include <utility>

namespace nutmegusher::node::internal
{

namespace
{

// Between two questions of a host that is no voter yet.
constexpr duration admission_interval = std::chrono::milliseconds(250);
constexpr duration admission_timeout = std::chrono::milliseconds(500);
// A founder is left this long to found the cluster, before a host that was
// named as one asks others whether there is a cluster already.
constexpr duration founding_time = std::chrono::seconds(5);
// A host that asked is a candidate for so long; it asks again several times
// within it.
constexpr duration question_memory = std::chrono::seconds(2);
// A voter that has known no leader for so long asks as well: it may have been
// removed while it was cut off.
constexpr duration leaderless_limit = std::chrono::seconds(2);

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

// Whether this host votes in each log and hears of a leader.
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
        co_await pause(founding_time);
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

asio::awaitable<void> control_loop::ask_all_for_admission()
{
    auto hosts = settings_.seeds;
    for (const auto& member : status().members)
    {
        hosts.push_back(member.address);
    }
    for (const auto& host : hosts)
    {
        if (host == settings_.address)
        {
            continue;
        }
        messages::admit_request request;
        *request.mutable_member() = own_member();
        request.set_cluster(identity_.cluster());
        const auto body = request.SerializeAsString();
        const auto answer = co_await wire::call(
            peers_.sessions(), host, "/control/admit", body, admission_timeout);
        messages::admit_reply reply;
        if (!answer || !reply.ParseFromString(*answer) || stopped_)
        {
            continue;
        }
        if (identity_.cluster() == 0 && reply.cluster() != 0)
        {
            const messages::replica_set unknown;
            static_cast<void>(
                establish(reply.cluster(), reply.groups(), unknown));
        }
        if (reply.cluster() != 0)
        {
            co_return;
        }
    }
}

asio::awaitable<messages::admit_reply>
control_loop::admit(messages::admit_request request, bool forward)
{
    const auto self = shared_from_this();
    messages::admit_reply reply;
    reply.set_cluster(identity_.cluster());
    reply.set_groups(identity_.groups());
    if (identity_.cluster() == 0 || request.cluster() != identity_.cluster())
    {
        co_return reply;
    }
    const auto id = request.member().identity();
    asking_[id] = {request.member(), host_clock().now()};
    if (!forward)
    {
        co_return reply;
    }
    const auto body = request.SerializeAsString();
    for (std::uint32_t group = 0; group < identity_.groups(); ++group)
    {
        const auto deadline = host_clock().now() + admission_timeout;
        if (!leads(group))
        {
            static_cast<void>(co_await call_leader(
                group, "/control/lead/admit", body, deadline));
        }
    }
    co_return reply;
}

// Each leader's turn; called several times a second.
void control_loop::tend_members()
{
    if (settings_.voters == 0 || handing_over_)
    {
        return;
    }
    const auto now = host_clock().now();
    std::erase_if(
        asking_,
        [now](const auto& item)
        {
            return now - item.second.asked_at > question_memory;
        });
    for_each_group(
        [&](auto& group)
        {
            if (group.running() != nullptr)
            {
                tend_group(group.number(), group.running()->core(), now);
            }
        });
}

void control_loop::tend_group(
    std::uint32_t number, replica& core, time_point now)
{
    if (!core.holds_lease(now))
    {
        heard_.erase(number);
        return;
    }
    const auto view = view_members(number, core, now);
    if (!core.members_committed())
    {
        return;
    }
    std::vector<messages::replica_member> asking;
    for (const auto& [id, question] : asking_)
    {
        asking.push_back(question.member);
    }
    voter_goal goal;
    goal.voters = settings_.voters;
    auto next = membership_towards(goal, view, asking);
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
        // Refused for now; the next turn looks again.
        [] {});
    members_changed_ = true;
    schedule_turn();
}

std::vector<member_view> control_loop::view_members(
    std::uint32_t number, const replica& core, time_point now)
{
    auto& heard = heard_[number];
    const auto progress = core.progress(now);
    std::vector<member_view> view;
    for (const auto& member : core.members().members())
    {
        member_view seen;
        seen.member = member;
        const replica_id id(member.identity());
        if (id == core.id())
        {
            seen.caught_up = true;
            view.push_back(seen);
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
        auto& last = heard.emplace(id, now).first->second;
        last = active ? now : last;
        seen.silent_for = now - last;
        seen.caught_up = is_caught_up(core, id, now);
        view.push_back(seen);
    }
    return view;
}

} // namespace nutmegusher::node::internal
