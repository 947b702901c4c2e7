// Commands for upstreams, dump, drain, quarantine and the control hosts.
#include "nutmegusher/ctl/command.hpp"
#include "nutmegusher/ctl/json_text.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <ostream>

namespace nutmegusher::ctl
{
namespace
{

void print(const command_context& context, const json::value& value)
{
    context.as_json ? print_json(context.env.out, value)
                    : print_text(context.env.out, value);
}

} // namespace

exit_code
get_and_print(const command_context& context, const std::string& target)
{
    const auto reply = context.client.get(target);
    if (!reply)
    {
        return report_error(context, reply.error());
    }
    print(context, *reply);
    return exit_code::success;
}

void add_upstreams_options(cxxopts::OptionAdder& add)
{
    add("service",
        "show only upstreams of this service",
        cxxopts::value<std::string>());
}

exit_code show_upstreams(const command_context& context)
{
    if (!context.has("service"))
    {
        return get_and_print(context, "/v1/upstreams");
    }
    const auto reply = context.client.get("/v1/upstreams");
    if (!reply)
    {
        return report_error(context, reply.error());
    }
    const auto service = context.text("service");
    const auto* const found = find_field(*reply, service);
    if (found == nullptr)
    {
        context.env.error << "error: this process knows no upstreams of '"
                          << service << "'\n";
        return exit_code::bad_usage;
    }
    print(context, *found);
    return exit_code::success;
}

exit_code show_dump(const command_context& context)
{
    return get_and_print(context, "/v1/dump");
}

exit_code show_teams(const command_context& context)
{
    return get_and_print(context, "/v1/teams");
}

exit_code drain(const command_context& context)
{
    const auto reply = context.client.post_once("/v1/drain", "");
    if (!reply)
    {
        return report_error(context, reply.error());
    }
    context.env.out << "the process accepts no new requests and stops once "
                       "those in flight have ended\n";
    return exit_code::success;
}

exit_code show_quarantine(const command_context& context)
{
    return get_and_print(context, "/v1/quarantine");
}

void add_release_options(cxxopts::OptionAdder& add)
{
    add("digest",
        "digest of the request, as `quarantine list` shows it",
        cxxopts::value<std::string>());
}

exit_code release_request(const command_context& context)
{
    const json::object body{{"digest", context.text("digest")}};
    const auto reply = context.client.post_once(
        "/v1/quarantine/release", json::serialize(body));
    if (!reply)
    {
        return report_error(context, reply.error());
    }
    context.env.out << "released; takes effect everywhere within a second\n";
    return exit_code::success;
}

exit_code show_control(const command_context& context)
{
    return get_and_print(context, "/v1/control");
}

void add_replace_options(cxxopts::OptionAdder& add)
{
    add("lost", "the lost control host", cxxopts::value<std::string>());
    add("new", "the host that replaces it", cxxopts::value<std::string>());
    add("address-of-new",
        "IP:PORT of the new host's peer listener",
        cxxopts::value<std::string>());
}

exit_code replace_control_host(const command_context& context)
{
    const json::object body{
        {"old", context.text("lost")},
        {"new", context.text("new")},
        {"address", context.text("address-of-new")}};
    const auto reply =
        context.client.post_once("/v1/control/replace", json::serialize(body));
    if (!reply)
    {
        if (reply.error().problem == client_problem::no_reply)
        {
            context.env.error
                << "the replacement may have started; see `control` before you "
                   "try again\n";
        }
        return report_error(context, reply.error());
    }
    print(context, *reply);
    return exit_code::success;
}

} // namespace nutmegusher::ctl
