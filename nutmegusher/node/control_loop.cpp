#include "nutmegusher/node/control_loop.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <random>

namespace nutmegusher::node::internal
{

namespace
{

// A quarter of the shortest heartbeat interval in use.
constexpr duration tick_interval = std::chrono::milliseconds(10);
constexpr duration status_interval = std::chrono::milliseconds(100);

// Returns whether the message may change the membership. The addresses of new
// members must be known before their membership is committed.
bool changes_members(const messages::replica_message& message)
{
    const auto& entries = message.append().entries();
    return message.has_install() || std::any_of(
                                        entries.begin(),
                                        entries.end(),
                                        [](const messages::log_entry& entry)
                                        {
                                            return entry.has_membership();
                                        });
}

} // namespace

control_loop::control_loop(
    asio::io_context& context,
    const control_settings& settings,
    file_disk target)
    : context_(context)
    , settings_(settings)
    , disk_(std::move(target))
    , engine_(
          (std::uint64_t{std::random_device{}()} << 32) ^
          std::random_device{}())
    , tasks_(context)
    , transport_(
          context,
          [this](const messages::replica_batch& batch)
          {
              receive(batch);
          })
    , tick_timer_(context)
{
}

leaf::result<void> control_loop::open()
{
    BOOST_LEAF_ASSIGN(identity_, load_identity(disk_, settings_.self, engine_));
    if (identity_.cluster() != 0)
    {
        BOOST_LEAF_CHECK(open_groups());
    }
    publish_status();
    return {};
}

leaf::result<void> control_loop::open_groups()
{
    const auto now = host_clock().now();
    transport_.join(identity_.cluster());
    control_group_hooks<configuration_store> hooks;
    hooks.send = [this](messages::replica_message message)
    {
        transport_.post(std::move(message));
    };
    hooks.members_changed = [this]
    {
        members_changed_ = true;
    };
    hooks.applied = [this](
                        const messages::log_entry& entry,
                        const messages::change_result& result)
    {
        if (entry.has_withdrawal())
        {
            cache_.accept(entry.withdrawal());
            return;
        }
        messages::accepted_change accepted;
        accepted.set_revision(result.revision());
        *accepted.mutable_what() = entry.configuration_change();
        log_change(accepted.what(), result);
        if (result.verdict() == messages::change_accepted)
        {
            cache_.accept(accepted);
            notify(revision(accepted.revision()));
        }
    };
    hooks.restored = [this](const configuration_store& store)
    {
        cache_.restore(store);
        notify(store.revision());
    };
    configuration_ = std::make_unique<configuration_group>(
        group_settings(0), std::move(hooks));
    for (std::uint32_t number = 1; number < identity_.groups(); ++number)
    {
        claims_.push_back(make_claim_group(number));
    }
    BOOST_LEAF_CHECK(configuration_->open(now));
    for (auto& group : claims_)
    {
        BOOST_LEAF_CHECK(group->open(now));
    }
    update_member_addresses();
    return {};
}

std::unique_ptr<control_loop::claim_group>
control_loop::make_claim_group(std::uint32_t number)
{
    control_group_hooks<claim_state_machine> hooks;
    hooks.send = [this](messages::replica_message message)
    {
        transport_.post(std::move(message));
    };
    hooks.members_changed = [this]
    {
        members_changed_ = true;
    };
    hooks.applied = [](const auto&, const auto&) {};
    hooks.restored = [](const auto&) {};
    return std::make_unique<claim_group>(
        group_settings(number), std::move(hooks));
}

control_group_settings control_loop::group_settings(std::uint32_t number)
{
    control_group_settings made;
    made.replica.group = number;
    made.replica.self = replica_id(identity_.identity());
    made.replica.timing = settings_.timing;
    made.snapshots = settings_.snapshots;
    made.context = &context_;
    made.target = &disk_;
    made.engine = &engine_;
    return made;
}

void control_loop::start()
{
    tasks_.spawn(run_ticks());
    if (identity_.cluster() == 0 && is_cluster_founder())
    {
        tasks_.spawn(found_cluster());
    }
    if (settings_.voters > 0)
    {
        tasks_.spawn(ask_for_admission());
    }
}

asio::awaitable<void> control_loop::end()
{
    const auto self = shared_from_this();
    stop();
    co_await tasks_.end();
    co_await transport_.end();
}

void control_loop::stop()
{
    stopped_ = true;
    tick_timer_.cancel();
}

asio::awaitable<void> control_loop::run_ticks()
{
    const auto self = shared_from_this();
    const auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);
    auto next_status = host_clock().now();
    while (!stopped_)
    {
        const auto now = host_clock().now();
        for_each_group(
            [now](auto& group)
            {
                group.tick(now);
            });
        run_turn();
        if (now >= next_status)
        {
            next_status = now + status_interval;
            // Includes groups whose leadership this host gains during the
            // hand-over.
            if (handing_over_)
            {
                static_cast<void>(hand_over_groups());
            }
            balance_leaders();
            maintain_voters();
            monitor_lags();
            publish_status();
        }
        tick_timer_.expires_after(tick_interval);
        co_await tick_timer_.async_wait(as_tuple_awaitable);
    }
}

// One turn processes all events that are ready, with one disk sync per group.
void control_loop::schedule_turn()
{
    if (turn_scheduled_)
    {
        return;
    }
    turn_scheduled_ = true;
    asio::post(
        context_,
        [self = shared_from_this()]
        {
            self->turn_scheduled_ = false;
            self->run_turn();
        });
}

void control_loop::run_turn()
{
    for_each_group(
        [](auto& group)
        {
            group.turn(host_clock().now());
            group.wake_apply_waiters();
        });
    with_core(
        0,
        [this](const replica& core)
        {
            known_current_at_ =
                core.known_current_at().time_since_epoch().count();
            publish_leadership(core);
        });
    if (members_changed_)
    {
        members_changed_ = false;
        update_member_addresses();
    }
    transport_.flush();
}

void control_loop::update_member_addresses()
{
    for_each_group(
        [this](auto& group)
        {
            if (group.running() != nullptr)
            {
                transport_.update_addresses(group.running()->core().members());
            }
        });
}

void control_loop::step(const messages::replica_message& message)
{
    const auto now = host_clock().now();
    for_each_group(
        [&](auto& group)
        {
            if (group.number() == message.group())
            {
                group.step(message, now);
            }
        });
}

void control_loop::receive(const messages::replica_batch& batch)
{
    if (batch.cluster() != identity_.cluster() || stopped_)
    {
        return;
    }
    for (const auto& message : batch.messages())
    {
        members_changed_ = members_changed_ || changes_members(message);
        step(message);
    }
    schedule_turn();
}

asio::awaitable<std::string> control_loop::handle_batch(std::string body)
{
    const auto self = shared_from_this();
    messages::replica_batch batch;
    if (!batch.ParseFromString(body) || batch.messages().empty() ||
        batch.cluster() != identity_.cluster() || identity_.cluster() == 0)
    {
        co_return std::string();
    }
    const replica_id from(batch.messages(0).from());
    receive(batch);
    co_return co_await transport_.answer(from);
}

control_status control_loop::status() const
{
    const std::scoped_lock lock(status_mutex_);
    return status_;
}

} // namespace nutmegusher::node::internal
