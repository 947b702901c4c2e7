#include "testing/stand_in_upstream.hpp"

#include "testing/stand_in_server.hpp"

namespace nutmegusher::test_support
{

outcome<std::unique_ptr<stand_in_upstream>, boost::system::error_code>
stand_in_upstream::start(const stand_in_options& options)
{
    auto log = execution_log::open(options.journal);
    if (!log)
    {
        return log.error();
    }
    auto running = std::make_unique<server>(options, std::move(*log));
    if (const auto error = running->start())
    {
        return error;
    }
    return std::unique_ptr<stand_in_upstream>(
        new stand_in_upstream(std::move(running)));
}

stand_in_upstream::stand_in_upstream(std::unique_ptr<server> running)
    : server_(std::move(running))
{
}

stand_in_upstream::~stand_in_upstream() = default;

outcome<void, behavior_problem>
stand_in_upstream::control(std::string_view json)
{
    return server_->control(json);
}

const execution_log& stand_in_upstream::executions() const
{
    return server_->log();
}

const std::string& stand_in_upstream::address() const
{
    return server_->options().address;
}

} // namespace nutmegusher::test_support
