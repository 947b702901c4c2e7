// Changes which hosts belong to the cluster: founding, joining and replacing.
#include "nutmegusher/node/control_loop.hpp"

#include <algorithm>
#include <utility>

namespace nutmegusher::node::internal
{

namespace
{

constexpr duration join_timeout = std::chrono::seconds(1);
constexpr duration invitation_timeout = std::chrono::seconds(5);
constexpr duration join_pause = std::chrono::milliseconds(200);
constexpr duration replace_timeout = std::chrono::seconds(60);
constexpr duration replace_pause = std::chrono::milliseconds(50);

bool succeeds(const std::function<leaf::result<void>()>& action)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_CHECK(action());
            return true;
        },
        [](const storage_failure& failure)
        {
            log_storage_failed(0, failure);
            return false;
        },
        []
        {
            return false;
        });
}

} // namespace

bool control_loop::is_seed(const asio::ip::tcp::endpoint& host) const
{
    return std::find(settings_.seeds.begin(), settings_.seeds.end(), host) !=
           settings_.seeds.end();
}

// The founder is the first host in `initial`, or the seed with the lowest
// address, so that all seeds agree whatever the order in which they are listed.
bool control_loop::is_cluster_founder() const
{
    if (!settings_.initial.empty())
    {
        return settings_.initial.front().host == settings_.self;
    }
    return settings_.bootstrap && !settings_.seeds.empty() &&
           *std::min_element(settings_.seeds.begin(), settings_.seeds.end()) ==
               settings_.address;
}

// Compares by name if there is one, as other hosts may reach this host at an
// address other than the one it listens on.
bool control_loop::is_self(const founder& candidate) const
{
    return candidate.host ? *candidate.host == settings_.self
                          : candidate.address == settings_.address;
}

std::vector<control_loop::founder> control_loop::founders() const
{
    std::vector<founder> all;
    for (const auto& host : settings_.initial)
    {
        all.push_back({host.host, host.address});
    }
    if (all.empty())
    {
        for (const auto& seed : settings_.seeds)
        {
            all.push_back({std::nullopt, seed});
        }
    }
    return all;
}

// Runs on the first start. Every other host must answer that it belongs to no
// cluster before any of them is asked to join, and joining cannot be undone. So
// a host whose data folder was emptied can neither found a second cluster
// beside a running one nor return as the voter that it was. Every host stores
// the initial members itself, so the group survives the loss of the founder
// from the start.
asio::awaitable<void> control_loop::found_cluster()
{
    const auto self = shared_from_this();
    const std::uint64_t own_identity = identity_.identity();
    while (!stopped_ && identity_.cluster() == 0)
    {
        const auto members = co_await query_founders();
        if (members && members->members().empty())
        {
            co_return; // a cluster exists: wait to be added to it
        }
        if (members && identity_.cluster() == 0)
        {
            const bool joined = co_await request_joins(*members);
            if (joined &&
                adopt_cluster(
                    own_identity, settings_.claim_groups + 1, *members))
            {
                co_return;
            }
        }
        co_await pause(join_pause);
    }
}

// Returns the initial members: empty if one of them belongs to another cluster,
// nullopt while not all have answered.
asio::awaitable<std::optional<messages::replica_set>>
control_loop::query_founders()
{
    const std::uint64_t own_identity = identity_.identity();
    messages::replica_set members;
    for (const auto& host : founders())
    {
        auto& member = *members.add_members();
        member.set_host(settings_.self.str());
        member.set_address(to_text(host.address));
        member.set_voter(true);
        member.set_identity(own_identity);
        if (is_self(host))
        {
            continue;
        }
        const messages::join_request query;
        const auto reply = co_await ask_to_join(host.address, query);
        if (!reply || (host.host && reply->host() != host.host->str()))
        {
            co_return std::nullopt;
        }
        member.set_host(reply->host());
        if (reply->cluster() != 0 && reply->cluster() != own_identity)
        {
            co_return messages::replica_set();
        }
        member.set_identity(reply->identity());
    }
    co_return members;
}

asio::awaitable<bool>
control_loop::request_joins(const messages::replica_set& members)
{
    const std::uint64_t own_identity = identity_.identity();
    messages::join_request request;
    request.set_cluster(own_identity);
    request.set_groups(settings_.claim_groups + 1);
    *request.mutable_founding() = members;
    for (const auto& host : founders())
    {
        if (is_self(host))
        {
            continue;
        }
        const auto reply = co_await ask_to_join(host.address, request);
        if (!reply || reply->cluster() != own_identity)
        {
            co_return false;
        }
    }
    co_return true;
}

asio::awaitable<std::optional<messages::join_reply>> control_loop::ask_to_join(
    asio::ip::tcp::endpoint host, const messages::join_request& request)
{
    const auto body = request.SerializeAsString();
    const auto answer = co_await wire::call(
        transport_.sessions(), host, "/control/join", body, join_timeout);
    messages::join_reply reply;
    if (!answer || !reply.ParseFromString(*answer))
    {
        co_return std::nullopt;
    }
    co_return reply;
}

messages::join_reply control_loop::join(const messages::join_request& request)
{
    if (identity_.cluster() == 0 && request.cluster() != 0 &&
        request.groups() > 0 && request.cluster() != identity_.identity())
    {
        static_cast<void>(adopt_cluster(
            request.cluster(), request.groups(), request.founding()));
    }
    messages::join_reply reply;
    reply.set_identity(identity_.identity());
    reply.set_host(settings_.self.str());
    reply.set_cluster(identity_.cluster());
    return reply;
}

// Writes the files first, then the identity that requires them. Both are
// durable before the host replies, as it accepts only this cluster's messages
// from then on.
bool control_loop::adopt_cluster(
    std::uint64_t cluster,
    std::uint32_t groups,
    const messages::replica_set& founding)
{
    auto identity = identity_;
    identity.set_cluster(cluster);
    identity.set_groups(groups);
    const auto action = [&]() -> leaf::result<void>
    {
        for (std::uint32_t group = 0; group < groups; ++group)
        {
            BOOST_LEAF_CHECK(create_files(group, founding));
        }
        BOOST_LEAF_CHECK(save_identity(disk_, identity));
        identity_ = identity;
        return open_groups();
    };
    return succeeds(action);
}

leaf::result<void> control_loop::create_files(
    std::uint32_t group, const messages::replica_set& founding)
{
    using any_group = replicated_group<file_disk, configuration_store>;
    if (founding.members().empty())
    {
        return group_storage<file_disk>(disk_, group).create();
    }
    return any_group::bootstrap(disk_, group, founding);
}

asio::awaitable<replace_outcome>
control_loop::replace(host_id old_host, messages::replica_member added)
{
    const auto self = shared_from_this();
    const auto deadline = host_clock().now() + replace_timeout;
    const auto address = parse_endpoint(added.address());
    if (!address || identity_.cluster() == 0)
    {
        co_return replace_outcome::new_host_unreachable;
    }
    messages::join_request invitation;
    invitation.set_cluster(identity_.cluster());
    invitation.set_groups(identity_.groups());
    // A host that has just started may still be considered unreachable.
    const auto join_deadline = host_clock().now() + invitation_timeout;
    auto joined = co_await ask_to_join(*address, invitation);
    while (!joined && !stopped_ && host_clock().now() < join_deadline)
    {
        co_await pause(join_pause);
        joined = co_await ask_to_join(*address, invitation);
    }
    if (!joined)
    {
        co_return replace_outcome::new_host_unreachable;
    }
    if (joined->host() != added.host())
    {
        co_return replace_outcome::wrong_host;
    }
    if (joined->cluster() != identity_.cluster())
    {
        co_return replace_outcome::foreign_data_folder;
    }
    added.set_identity(joined->identity());
    messages::replace_request request;
    request.set_old_host(old_host.str());
    *request.mutable_added() = added;
    for (std::uint32_t group = 0; group < identity_.groups(); ++group)
    {
        request.set_group(group);
        const bool done = co_await replace_in_group(request, deadline);
        if (!done)
        {
            co_return replace_outcome::timed_out;
        }
    }
    co_return replace_outcome::replaced;
}

asio::awaitable<bool> control_loop::replace_in_group(
    messages::replace_request request, time_point deadline)
{
    const auto body = request.SerializeAsString();
    while (!stopped_ && host_clock().now() < deadline)
    {
        std::optional<messages::replace_reply> reply;
        if (leads(request.group()))
        {
            reply = replace_step(request);
        }
        else
        {
            reply = co_await ask_leader<messages::replace_reply>(
                request.group(), "/control/lead/replace", body, deadline);
        }
        if (reply && reply->done())
        {
            co_return true;
        }
        co_await pause(replace_pause);
    }
    co_return false;
}

messages::replace_reply
control_loop::replace_step(const messages::replace_request& request)
{
    messages::replace_reply reply;
    const auto now = host_clock().now();
    const auto take_step = [&](replica& core)
    {
        if (!core.holds_lease(now))
        {
            return;
        }
        const replacement requested{
            host_id(request.old_host()), request.added()};
        const replica_id added(request.added().identity());
        const auto step = next_step(
            core.members(), requested, is_caught_up(core, added, now));
        reply.set_done(
            step == replacement_step::done && core.members_committed());
        auto members = membership_after(core.members(), requested, step);
        if (!members)
        {
            return;
        }
        reply.set_accepted(succeeds(
            [&]() -> leaf::result<void>
            {
                BOOST_LEAF_CHECK(
                    core.propose_members(*std::move(members), now));
                return {};
            }));
        members_changed_ = true;
    };
    with_core(request.group(), take_step);
    schedule_turn();
    return reply;
}

} // namespace nutmegusher::node::internal
