#include "nutmegusher/ctl/command.hpp"

namespace nutmegusher::ctl
{
namespace
{

constexpr command commands[] = {
    {"class declare",
     "declares a class of work, or replaces its declaration",
     "name",
     "service rank latency-ms completion",
     add_declare_options,
     declare_class},
    {"class set-target",
     "changes the latency and completion target of a class",
     "name",
     "latency-ms completion",
     add_target_options,
     set_target},
    {"class remove",
     "removes a class; its requests are refused afterwards",
     "name",
     "",
     add_change_options,
     remove_class},
    {"class list",
     "shows the classes in force at the process",
     "",
     "",
     add_no_options,
     list_classes},
    {"class history",
     "shows the accepted changes of one class or of all",
     "name",
     "",
     add_no_options,
     show_history},
    {"status",
     "shows the revision in force and the daemons that lag",
     "",
     "",
     add_status_options,
     show_status},
    {"upstreams",
     "shows the known upstreams and their health",
     "",
     "",
     add_upstreams_options,
     show_upstreams},
    {"teams",
     "shows the teams' quotas, at the control host that owns them",
     "",
     "",
     add_no_options,
     show_teams},
    {"dump",
     "shows the complete state of the process",
     "",
     "",
     add_no_options,
     show_dump},
    {"drain",
     "stops the process once its requests in flight have ended",
     "",
     "",
     add_no_options,
     drain},
    {"quarantine list",
     "shows requests that are refused because upstreams crashed while they "
     "ran",
     "",
     "",
     add_no_options,
     show_quarantine},
    {"quarantine release",
     "releases a request from quarantine",
     "",
     "digest",
     add_release_options,
     release_request},
    {"control replace",
     "replaces a lost control host with a new one",
     "",
     "lost new address-of-new",
     add_replace_options,
     replace_control_host},
    {"control",
     "shows members, leader, terms and indexes of each log",
     "",
     "",
     add_no_options,
     show_control},
    {"outcome settle",
     "settles a call whose executor has ended permanently",
     "",
     "customer class key executor execution",
     add_settle_options,
     settle_outcome},
    {"outcome",
     "shows the outcome of a call that may not be repeated",
     "",
     "customer class key",
     add_outcome_options,
     show_outcome}};

} // namespace

std::span<const command> all_commands()
{
    return commands;
}

void add_no_options(cxxopts::OptionAdder& add)
{
    static_cast<void>(add);
}

exit_code
report_error(const command_context& context, const client_error& error)
{
    print_error(context.env.error, error);
    return exit_code_of(error);
}

} // namespace nutmegusher::ctl
