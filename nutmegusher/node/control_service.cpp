#include "nutmegusher/node/control_service.hpp"

#include "nutmegusher/node/control_logs.hpp"
#include "nutmegusher/node/crash_store.hpp"
#include "nutmegusher/node/json_messages.hpp"
#include "nutmegusher/node/quota_client.hpp"
#include "nutmegusher/node/quota_server.hpp"
#include "nutmegusher/node/sync_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>

#include <sstream>
#include <thread>

namespace nutmegusher::node
{

namespace
{

constexpr duration hand_over_limit = std::chrono::seconds(3);
// The maximum number of changes that `history` returns.
constexpr std::size_t max_history = 1000;
constexpr std::string_view sync_path = "/control/sync";
constexpr std::string_view registry_path = "/control/registry";

std::string to_text(const endpoint& address)
{
    std::ostringstream text;
    text << address;
    return text.str();
}

control_settings make_control_settings(const settings& from)
{
    control_settings made;
    made.data_folder = from.control->data_folder;
    made.self = from.host.id;
    made.address = from.listen.peers;
    made.initial = from.control->initial;
    made.claim_groups = from.control->claim_groups;
    made.seeds = from.control_hosts;
    made.bootstrap = from.control->bootstrap;
    const auto losses = from.control->tolerated_losses;
    made.voters = losses == 0 ? 0 : 2 * losses + 1;
    return made;
}

// The fields of a replacement request's body.
struct replace_command
{
    host_id old_host;
    host_id new_host;
    endpoint address;
};

leaf::result<replace_command> parse_replace(std::string_view text)
{
    json::error_code failed;
    const auto value =
        json::parse(json::string_view(text.data(), text.size()), failed);
    if (failed || !value.is_object())
    {
        return leaf::new_error(json_error{json_problem::not_an_object, ""});
    }
    const auto& object = value.get_object();
    const auto string_field =
        [&object](std::string_view field) -> leaf::result<std::string>
    {
        const auto* const found = object.if_contains(field);
        if (found == nullptr || !found->is_string() ||
            found->get_string().empty())
        {
            return leaf::new_error(
                json_error{json_problem::missing_field, std::string(field)});
        }
        return std::string(found->get_string());
    };
    BOOST_LEAF_AUTO(old_host, string_field("old"));
    BOOST_LEAF_AUTO(new_host, string_field("new"));
    BOOST_LEAF_AUTO(address, string_field("address"));
    const auto parsed = parse_endpoint(address);
    if (!parsed)
    {
        return leaf::new_error(
            json_error{json_problem::out_of_range, "address"});
    }
    return replace_command{host_id(old_host), host_id(new_host), *parsed};
}

unsigned http_status_of(replace_outcome outcome)
{
    switch (outcome)
    {
    case replace_outcome::replaced:
        return 200;
    case replace_outcome::foreign_data_folder:
        return 409;
    case replace_outcome::new_host_unreachable:
    case replace_outcome::wrong_host:
    case replace_outcome::timed_out:
        break;
    }
    return 503;
}

} // namespace

namespace
{

// A separate folder, as a `file_disk` locks the folder that it uses.
constexpr std::string_view crash_folder = "crashes";

void persist(file_disk& disk, const std::vector<crash_record>& records)
{
    leaf::try_handle_all(
        [&]
        {
            return save_crashes(
                disk, records, host_clock().now(), wall_milliseconds());
        },
        [](const leaf::error_info&)
        {
            log_event(event::quarantine_not_kept, {});
        });
}

} // namespace

struct control_service::state
{
    explicit state(worker& lease_worker)
        : lease_worker(lease_worker)
        , work_guard(asio::make_work_guard(context))
    {
    }

    control_source make_source();
    quota_source make_quota_source();
    [[nodiscard]] json::value describe() const;
    [[nodiscard]] json::value history() const;
    [[nodiscard]] json::value rollout() const;
    asio::awaitable<std::pair<unsigned, json::value>> replace(std::string body);
    asio::awaitable<std::optional<messages::configuration>> read();

    worker& lease_worker;
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_guard;
    suspension_meter suspensions;
    std::unique_ptr<control_logs> logs;
    // Used only on `thread` once that runs.
    std::optional<file_disk> crash_disk;
    std::unique_ptr<sync_server> syncs;
    std::unique_ptr<quota_server> quotas;
    std::thread thread;
};

control_source control_service::state::make_source()
{
    control_source source;
    source.present = [this]
    {
        return logs->at();
    };
    // Daemons do not need the source text that the operator installed.
    source.changes_since = [this](revision from)
    {
        auto delta = logs->since(from);
        if (delta.has_routes())
        {
            delta.mutable_routes()->clear_source();
        }
        if (delta.has_full() && delta.full().has_routes())
        {
            delta.mutable_full()->mutable_routes()->clear_source();
        }
        return delta;
    };
    source.confirm = [this]
    {
        return logs->confirm_configuration();
    };
    source.withdrawals_of = [this](const std::string& host)
    {
        return logs->withdrawals_of(host);
    };
    source.claim_leaders = [this]
    {
        std::vector<std::string> leaders;
        for (const auto& leader : logs->claim_leaders())
        {
            leaders.push_back(leader ? to_text(*leader) : std::string());
        }
        return leaders;
    };
    source.persist_crashes = [this](std::vector<crash_record> records)
    {
        // Written on the logs' thread, as the disk may be slow.
        asio::post(
            context,
            [this, records = std::move(records)]
            {
                persist(*crash_disk, records);
            });
    };
    source.control_hosts = [this]
    {
        std::vector<messages::control_host> hosts;
        for (const auto& member : logs->members())
        {
            auto& host = hosts.emplace_back();
            host.set_host(member.host.str());
            host.set_address(to_text(member.address));
        }
        return hosts;
    };
    // A daemon takes the time that this host was suspended for time in which
    // nothing was accepted.
    source.known_current_at = [this]
    {
        const auto at = logs->known_current_at();
        return at - suspensions.since(at);
    };
    source.quota_owner = [this]
    {
        const auto leader = logs->leadership().leader;
        return leader ? to_text(*leader) : std::string();
    };
    return source;
}

quota_source control_service::state::make_quota_source()
{
    quota_source source;
    source.leadership = [this]
    {
        return logs->leadership();
    };
    source.present = [this]
    {
        return logs->at();
    };
    source.teams = [this]
    {
        return team_table::create(logs->present().routes());
    };
    return source;
}

json::value control_service::state::describe() const
{
    return json::object{
        {"logs", logs->state()},
        {"registry", syncs->dump()},
        {"quotas", quotas->dump()}};
}

json::value control_service::state::history() const
{
    json::array all;
    for (const auto& accepted : logs->history(max_history))
    {
        all.push_back(json::object{
            {"revision", accepted.revision()},
            {"change", to_json(accepted.what())}});
    }
    return all;
}

json::value control_service::state::rollout() const
{
    const revision current_revision(logs->present().revision());
    const auto tally = syncs->rollout();
    json::array lagging;
    for (const auto& each : tally.lagging(current_revision))
    {
        lagging.push_back(json::object{
            {"host", each.host.str()},
            {"revision", each.running_revision.value()}});
    }
    const auto summary = tally.summary();
    json::array counts;
    for (const auto& each : summary.counts())
    {
        counts.push_back(json::object{
            {"revision", each.revision()}, {"daemons", each.daemons()}});
    }
    return json::object{
        {"revision", current_revision.value()},
        {"daemons", tally.daemons()},
        {"in_force", tally.daemons_at(current_revision)},
        {"counts", std::move(counts)},
        {"lagging", std::move(lagging)}};
}

asio::awaitable<std::optional<messages::configuration>>
control_service::state::read()
{
    const bool confirmed = co_await logs->confirm_configuration();
    if (!confirmed)
    {
        co_return std::nullopt;
    }
    co_return logs->present();
}

asio::awaitable<std::pair<unsigned, json::value>>
control_service::state::replace(std::string body)
{
    std::optional<replace_command> command;
    json_error problem;
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_ASSIGN(command, parse_replace(body));
            return {};
        },
        [&](const json_error& error)
        {
            problem = error;
        },
        [] {});
    if (!command)
    {
        co_return std::pair(422U, to_json(problem));
    }
    const auto result = co_await logs->replace_member(
        command->old_host, command->new_host, command->address);
    json::value answer = json::object{{"outcome", to_string(result)}};
    co_return std::pair(http_status_of(result), std::move(answer));
}

leaf::result<std::unique_ptr<control_service>>
control_service::start(worker& lease_worker)
{
    const auto& configured = lease_worker.shared.configured;
    auto made = std::make_unique<state>(lease_worker);
    BOOST_LEAF_ASSIGN(
        made->logs,
        control_logs::create(made->context, make_control_settings(configured)));
    made->syncs = std::make_unique<sync_server>(
        configured.host.id, lease_worker.shared.run, made->make_source());
    BOOST_LEAF_ASSIGN(
        made->crash_disk,
        file_disk::open(configured.control->data_folder / crash_folder));
    BOOST_LEAF_AUTO(
        kept,
        load_crashes(
            *made->crash_disk, host_clock().now(), wall_milliseconds()));
    made->syncs->restore(kept);
    made->quotas = std::make_unique<quota_server>(
        made->make_quota_source(), configured.quotas);
    made->logs->on_revision(
        [syncs = made->syncs.get()](revision)
        {
            syncs->notify();
        });
    lease_worker.tasks.spawn(
        made->syncs->exchange_leases(lease_worker.peers, lease_worker.tasks));
    lease_worker.tasks.spawn(made->quotas->follow());
    auto& context = made->context;
    made->thread = std::thread(
        [&context]
        {
            context.run();
        });
    return std::unique_ptr<control_service>(
        new control_service(std::move(made)));
}

control_service::control_service(std::unique_ptr<state> state)
    : state_(std::move(state))
{
}

control_service::~control_service()
{
    stop();
}

asio::awaitable<void>
control_service::serve(worker&, std::shared_ptr<wire::server_stream> stream)
{
    const auto& path = stream->head().path;
    if (path == sync_path || path == registry_path)
    {
        co_await state_->syncs->serve(stream);
        co_return;
    }
    if (path == quota_path)
    {
        co_await state_->quotas->serve(stream);
        co_return;
    }
    if (!co_await state_->logs->handle(stream))
    {
        wire::response_head head{404, {}};
        co_await stream->write_head(std::move(head), true);
    }
}

void control_service::release_held_syncs()
{
    state_->syncs->stop();
}

asio::awaitable<void> control_service::hand_over()
{
    co_await state_->logs->hand_over(hand_over_limit);
}

void control_service::stop()
{
    if (!state_->thread.joinable())
    {
        return;
    }
    // The thread returns once its context has nothing left to run, which
    // includes the writes that were posted to it.
    asio::co_spawn(
        state_->context,
        state_->logs->end(),
        [this](const std::exception_ptr& /*thrown*/)
        {
            state_->work_guard.reset();
        });
    state_->thread.join();
}

control_callbacks control_service::answers()
{
    control_callbacks made;
    made.propose = [this](messages::change change)
    {
        return state_->logs->propose_change(std::move(change));
    };
    made.read = [this]
    {
        return state_->read();
    };
    made.state = [this]
    {
        return state_->describe();
    };
    made.history = [this]
    {
        return state_->history();
    };
    made.rollout = [this]
    {
        return state_->rollout();
    };
    made.quotas = [this]
    {
        return state_->quotas->dump();
    };
    made.replace = [this](std::string body)
    {
        return state_->replace(std::move(body));
    };
    made.quarantined = [this]
    {
        return state_->syncs->quarantined();
    };
    made.release = [this](std::uint64_t digest)
    {
        return state_->syncs->release(digest);
    };
    return made;
}

} // namespace nutmegusher::node
