#include "nutmegusher/ctl/command.hpp"

namespace nutmegusher::ctl
{
namespace
{

constexpr command commands[] = {
    {"class declare",
     "declares a class of work, or changes all of it",
     "name",
     "service rank latency-ms completion",
     add_declare_options,
     declare_class},
    {"class set-target",
     "changes what was promised of a class",
     "name",
     "latency-ms completion",
     add_target_options,
     set_target},
    {"class remove",
     "removes a class; its requests are refused from then on",
     "name",
     "",
     add_change_options,
     remove_class},
    {"class list",
     "shows the classes that the process runs",
     "",
     "",
     add_no_options,
     list_classes},
    {"class history",
     "shows accepted changes, of one class or of all",
     "name",
     "",
     add_no_options,
     show_history},
    {"status",
     "shows what is in force, and which daemons lag",
     "",
     "",
     add_status_options,
     show_status},
    {"upstreams",
     "shows the upstreams that the process knows, with their health",
     "",
     "",
     add_upstreams_options,
     show_upstreams},
    {"dump",
     "shows the whole state of the process",
     "",
     "",
     add_no_options,
     show_dump},
    {"drain",
     "stops the process after what it has in flight",
     "",
     "",
     add_no_options,
     drain},
    {"quarantine list",
     "shows the requests that are refused because upstreams ended under them",
     "",
     "",
     add_no_options,
     show_quarantine},
    {"quarantine release",
     "lets a request run again that was in quarantine",
     "",
     "digest",
     add_release_options,
     release_request},
    {"control replace",
     "replaces a lost control host by a new one",
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
     "settles a call whose executor has ended for good",
     "",
     "customer class key executor execution",
     add_settle_options,
     settle_outcome},
    {"outcome",
     "asks what became of a call that may not be repeated",
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
