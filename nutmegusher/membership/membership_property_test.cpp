// Runs three control hosts and five daemons through random partitions,
// restarts, moves and crashes. No view may ever replace a record by an older
// one, and after the faults every view must match the daemons' last records.
#include "nutmegusher/membership/membership.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace nutmegusher
{
namespace
{

constexpr std::size_t control_count = 3;
constexpr std::size_t daemon_count = 5;
const std::vector<std::string> services{"balances", "statements"};
const locality own_locality{data_center_name("a1"), region_name("a")};

struct daemon_state
{
    bool alive = true;
    std::uint64_t incarnation = 1;
    std::uint64_t version = 1;
    std::size_t service = 0;
    std::size_t control = 0;
    std::unique_ptr<upstream_view> view;
};

class membership_model
{
public:
    membership_model()
    {
        for (std::size_t at = 0; at < control_count; ++at)
        {
            controls_.push_back(nullptr);
            restart_control(at);
        }
        for (std::size_t at = 0; at < daemon_count; ++at)
        {
            daemons_.emplace_back();
            daemons_[at].service = at % services.size();
            start_view(at);
        }
    }

    // Runs one action. `one` and `two` are random numbers that select the
    // daemon, the control hosts, the service or the duration.
    void apply_action(unsigned action, std::size_t one, std::size_t two)
    {
        auto& daemon = daemons_[one % daemon_count];
        switch (action)
        {
        case 0:
        case 1:
        case 2:
            return sync(one % daemon_count);
        case 3:
        case 4:
            return exchange(one % control_count, two % control_count);
        case 5:
            now_ += std::chrono::milliseconds(500 * two);
            return expire();
        case 6:
            daemon.control = two % control_count;
            return;
        case 7:
            ++daemon.version;
            daemon.service = two % services.size();
            return;
        case 8:
            daemon.alive = !daemon.alive;
            ++daemon.incarnation;
            daemon.version = 1;
            return start_view(one % daemon_count);
        case 9:
            return restart_control(one % control_count);
        default:
            isolated_control_ =
                two % 2 == 0 ? one % control_count : control_count;
        }
    }

    // Ends all faults and runs 40 s in which all daemons sync and all control
    // hosts exchange updates each second.
    void heal()
    {
        isolated_control_ = control_count;
        for (int second = 0; second < 40; ++second)
        {
            now_ += std::chrono::seconds(1);
            for (std::size_t at = 0; at < daemon_count; ++at)
            {
                sync(at);
            }
            for (std::size_t one = 0; one < control_count; ++one)
            {
                for (std::size_t two = 0; two < control_count; ++two)
                {
                    exchange(one, two);
                }
            }
            expire();
        }
    }

    // Returns whether each live daemon's view holds exactly the last records of
    // the live daemons.
    [[nodiscard]] bool views_match_daemons() const
    {
        for (const auto& reader : daemons_)
        {
            if (!reader.alive)
            {
                continue;
            }
            std::size_t alive_count = 0;
            for (std::size_t at = 0; at < daemon_count; ++at)
            {
                const auto& expected = daemons_[at];
                const auto* actual = reader.view->find(name(at));
                if (expected.alive != (actual != nullptr))
                {
                    return false;
                }
                if (actual != nullptr &&
                    (actual->incarnation() != expected.incarnation ||
                     actual->version() != expected.version ||
                     actual->service() != services[expected.service]))
                {
                    return false;
                }
                alive_count += expected.alive ? 1 : 0;
            }
            if (reader.view->size() != alive_count)
            {
                return false;
            }
        }
        return true;
    }

    [[nodiscard]] bool has_regressed() const
    {
        return has_regressed_;
    }

private:
    static host_id name(std::size_t at)
    {
        return host_id("d" + std::to_string(at));
    }

    static host_id control_name(std::size_t at)
    {
        return host_id("c" + std::to_string(at));
    }

    void start_view(std::size_t at)
    {
        daemons_[at].view =
            std::make_unique<upstream_view>(name(at), own_locality);
        for (const auto& service : services)
        {
            daemons_[at].view->add_service(service_name(service));
        }
    }

    void restart_control(std::size_t at)
    {
        controls_[at] = std::make_unique<lease_registry>(
            control_name(at),
            ++last_epoch_,
            now_,
            lease_options{.other_control_hosts = control_count - 1});
    }

    void sync(std::size_t at)
    {
        auto& daemon = daemons_[at];
        if (!daemon.alive)
        {
            return;
        }
        messages::sync_request request;
        request.set_host(name(at).str());
        request.set_incarnation(daemon.incarnation);
        auto& own = *request.mutable_own();
        own.set_host(name(at).str());
        own.set_incarnation(daemon.incarnation);
        own.set_version(daemon.version);
        own.set_service(services[daemon.service]);
        own.set_state(messages::upstream_serving);
        daemon.view->fill_request(request);
        auto& control = *controls_[daemon.control];
        if (control.renew(now_, request) != renewal_result::accepted)
        {
            return;
        }
        messages::sync_reply reply;
        control.answer(request, reply);
        apply(*daemon.view, reply);
    }

    void apply(upstream_view& view, const messages::sync_reply& reply)
    {
        std::vector<messages::upstream_record> before;
        for (std::size_t at = 0; at < daemon_count; ++at)
        {
            const auto* known = view.find(name(at));
            before.push_back(
                known != nullptr ? *known : messages::upstream_record());
        }
        view.apply(reply);
        for (std::size_t at = 0; at < daemon_count; ++at)
        {
            const auto* known = view.find(name(at));
            has_regressed_ =
                has_regressed_ ||
                (known != nullptr &&
                 std::pair(known->incarnation(), known->version()) <
                     std::pair(before[at].incarnation(), before[at].version()));
        }
    }

    void exchange(std::size_t to, std::size_t from)
    {
        if (to == from || to == isolated_control_ || from == isolated_control_)
        {
            return;
        }
        const auto request = controls_[to]->exchange(control_name(from));
        controls_[to]->apply(
            now_, control_name(from), controls_[from]->update(now_, request));
    }

    void expire()
    {
        for (const auto& control : controls_)
        {
            control->expire(now_);
        }
    }

    time_point now_{std::chrono::hours(1)};
    std::uint64_t last_epoch_ = 0;
    // The control host that is partitioned from the others; `control_count` if
    // none is.
    std::size_t isolated_control_ = control_count;
    std::vector<std::unique_ptr<lease_registry>> controls_;
    std::vector<daemon_state> daemons_;
    bool has_regressed_ = false;
};

RC_GTEST_PROP(membership_property, views_become_what_the_daemons_said, ())
{
    constexpr unsigned actions = 11;
    constexpr int steps = 150;
    membership_model model;
    for (int step = 0; step < steps; ++step)
    {
        model.apply_action(
            *rc::gen::inRange(0U, actions),
            *rc::gen::inRange<std::size_t>(0, 30),
            *rc::gen::inRange<std::size_t>(0, 16));
        RC_ASSERT(!model.has_regressed());
    }
    model.heal();
    RC_ASSERT(!model.has_regressed());
    RC_ASSERT(model.views_match_daemons());
}

} // namespace
} // namespace nutmegusher
