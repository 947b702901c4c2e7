#include "nutmegusher/node/own_upstream.hpp"

#include "nutmegusher/node/json_messages.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <sstream>

namespace nutmegusher::node
{

namespace
{

std::string to_text(const endpoint& address)
{
    std::ostringstream out;
    out << address;
    return out.str();
}

leaf::result<std::string>
text_field(const json::object& object, std::string_view field)
{
    const auto* const found = object.if_contains(field);
    if (found == nullptr || !found->is_string())
    {
        return leaf::new_error(json_error{
            found == nullptr ? json_problem::missing_field
                             : json_problem::wrong_type,
            std::string(field)});
    }
    return std::string(found->get_string());
}

} // namespace

leaf::result<announcement> parse_announcement(std::string_view text)
{
    json::error_code failed;
    const auto value =
        json::parse(json::string_view(text.data(), text.size()), failed);
    if (failed)
    {
        return leaf::new_error(json_error{json_problem::not_json, ""});
    }
    if (!value.is_object())
    {
        return leaf::new_error(json_error{json_problem::not_an_object, ""});
    }
    const auto& object = value.get_object();
    BOOST_LEAF_AUTO(service, text_field(object, "service"));
    BOOST_LEAF_AUTO(address, text_field(object, "address"));
    BOOST_LEAF_AUTO(state, text_field(object, "state"));
    announcement announced;
    announced.service = service_name(service);
    const auto parsed = parse_endpoint(address);
    if (!parsed)
    {
        return leaf::new_error(
            json_error{json_problem::out_of_range, "address"});
    }
    announced.address = *parsed;
    if (service.empty() || service.find('/') != std::string::npos)
    {
        return leaf::new_error(
            json_error{json_problem::out_of_range, "service"});
    }
    if (state == "serving")
    {
        announced.state = messages::upstream_serving;
    }
    else if (state == "leaving")
    {
        announced.state = messages::upstream_leaving;
    }
    else if (state == "starting")
    {
        announced.state = messages::upstream_starting;
    }
    else
    {
        return leaf::new_error(json_error{json_problem::out_of_range, "state"});
    }
    return announced;
}

own_upstream::own_upstream(
    const host_settings& host, const endpoint& peers, incarnation run)
{
    record_.set_host(host.id.str());
    record_.set_incarnation(run.value());
    record_.set_data_center(host.data_center.str());
    record_.set_region(host.region.str());
    record_.set_address(to_text(peers));
}

upstream_change
own_upstream::announce(const announcement& announced, time_point now)
{
    const std::scoped_lock lock(mutex_);
    last_announced_ = now;
    const auto before =
        announced_ ? announced_->state : messages::upstream_state_none;
    announced_ = announced;
    if (is_leaving_)
    {
        announced_->state = messages::upstream_leaving;
    }
    if (record_.version() > 0 && before == announced_->state &&
        record_.service() == announced.service.str() &&
        record_.upstream_start() == announced.start)
    {
        return upstream_change::none;
    }
    record_.set_service(announced.service.str());
    record_.set_state(announced_->state);
    record_.set_upstream_start(announced.start);
    record_.set_version(record_.version() + 1);
    switch (announced_->state)
    {
    case messages::upstream_serving:
        return upstream_change::appeared;
    case messages::upstream_starting:
        return upstream_change::starting;
    default:
        return upstream_change::leaving;
    }
}

upstream_change own_upstream::expire(time_point now)
{
    const std::scoped_lock lock(mutex_);
    if (!announced_ || now - last_announced_ < announcement_timeout)
    {
        return upstream_change::none;
    }
    announced_.reset();
    record_.set_state(messages::upstream_leaving);
    record_.set_version(record_.version() + 1);
    return upstream_change::lost;
}

std::uint64_t own_upstream::run() const
{
    const std::scoped_lock lock(mutex_);
    return record_.incarnation();
}

void own_upstream::supersede_run(std::uint64_t known_run)
{
    const std::scoped_lock lock(mutex_);
    record_.set_incarnation(std::max(record_.incarnation(), known_run + 1));
}

void own_upstream::leave()
{
    const std::scoped_lock lock(mutex_);
    is_leaving_ = true;
    if (announced_)
    {
        announced_->state = messages::upstream_leaving;
        record_.set_state(messages::upstream_leaving);
        record_.set_version(record_.version() + 1);
    }
}

std::optional<announcement> own_upstream::current() const
{
    const std::scoped_lock lock(mutex_);
    return announced_;
}

std::optional<messages::upstream_record> own_upstream::record() const
{
    const std::scoped_lock lock(mutex_);
    if (record_.version() == 0)
    {
        return std::nullopt;
    }
    return record_;
}

} // namespace nutmegusher::node
