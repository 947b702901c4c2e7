// The state of the logs as other threads and operators see it.
#include "nutmegusher/node/control_loop.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace nutmegusher::node::internal
{

namespace json = boost::json;

namespace
{

std::string_view to_string(replica_role role)
{
    switch (role)
    {
    case replica_role::follower:
        return "follower";
    case replica_role::pre_candidate:
        return "pre_candidate";
    case replica_role::candidate:
        return "candidate";
    case replica_role::leader:
        return "leader";
    }
    return "";
}

// Identities use all 64 bits, which JSON numbers do not hold in every
// implementation.
json::string identity_text(std::uint64_t identity)
{
    return json::string(std::to_string(identity));
}

json::array describe_members(const replica& core)
{
    const auto progress = core.progress(host_clock().now());
    json::array members;
    for (const auto& member : core.members().members())
    {
        json::object described{
            {"host", member.host()},
            {"address", member.address()},
            {"identity", identity_text(member.identity())},
            {"voter", member.voter()}};
        for (const auto& follower : progress)
        {
            if (follower.id.value() == member.identity())
            {
                described["match"] = follower.match;
                described["active"] = follower.recently_active;
                described["installing"] = follower.installing;
            }
        }
        members.push_back(std::move(described));
    }
    return members;
}

json::value leader_host(const replica& core)
{
    if (const auto leader = core.leader())
    {
        for (const auto& member : core.members().members())
        {
            if (member.identity() == leader->value())
            {
                return json::string(member.host());
            }
        }
    }
    return nullptr;
}

template <class Group>
json::object describe_group(const Group& group)
{
    json::object described{{"group", group.number()}};
    const auto* running = group.running();
    described["open"] = running != nullptr;
    if (running == nullptr)
    {
        return described;
    }
    const auto& core = running->core();
    described["role"] = to_string(core.role());
    described["leader"] = leader_host(core);
    described["term"] = core.term();
    described["last_index"] = core.log().last_index();
    described["commit"] = core.commit();
    described["applied"] = running->applied();
    described["snapshot_index"] = running->snapshot_index();
    described["log_bytes"] = running->storage().log_bytes();
    described["members_committed"] = core.members_committed();
    described["members"] = describe_members(core);
    return described;
}

} // namespace

json::value control_loop::describe()
{
    json::array groups;
    for_each_group(
        [&groups](const auto& group)
        {
            groups.push_back(describe_group(group));
        });
    return json::object{
        {"host", settings_.self.str()},
        {"identity", identity_text(identity_.identity())},
        {"cluster", identity_text(identity_.cluster())},
        {"handing_over", handing_over_},
        {"groups", std::move(groups)}};
}

json::value control_loop::state() const
{
    const std::scoped_lock lock(status_mutex_);
    return state_;
}

configuration_leadership control_loop::leadership() const
{
    const std::scoped_lock lock(status_mutex_);
    return leadership_;
}

void control_loop::publish_leadership(const replica& core)
{
    configuration_leadership current;
    current.term = core.term();
    current.confirmed_at = core.leadership_confirmed_at();
    current.leader = current.confirmed_at ? std::optional(settings_.address)
                                          : leader_address(0);
    const std::scoped_lock lock(status_mutex_);
    leadership_ = std::move(current);
}

void control_loop::publish_status()
{
    control_status status;
    auto state = describe();
    for (auto& group : claims_)
    {
        status.claim_leaders.push_back(
            leads(group->number()) ? std::optional(settings_.address)
                                   : leader_address(group->number()));
    }
    with_core(
        0,
        [&](const replica& core)
        {
            if (core.leader())
            {
                leader_known_at_ = host_clock().now();
            }
            for (const auto& member : core.members().members())
            {
                if (const auto address = parse_endpoint(member.address()))
                {
                    status.members.push_back(
                        {host_id(member.host()), *address});
                }
            }
        });
    const std::scoped_lock lock(status_mutex_);
    status_ = std::move(status);
    state_ = std::move(state);
}

} // namespace nutmegusher::node::internal
