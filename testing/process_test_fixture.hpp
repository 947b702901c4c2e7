// Fixture of the end-to-end tests on running processes.
#ifndef NUTMEGUSHER_TESTING_PROOF_FIXTURE_HPP
#define NUTMEGUSHER_TESTING_PROOF_FIXTURE_HPP

#include "testing/testing.hpp"

#include <gtest/gtest.h>

namespace nutmegusher::test_support
{

class process_test : public ::testing::Test
{
protected:
    void TearDown() override
    {
        if (cluster)
        {
            EXPECT_EQ(cluster->crashes(), std::vector<std::string>())
                << cluster->logs();
        }
    }

    // Starts a deployment, declares the classes and waits until each of `ready`
    // is served.
    void start(
        const deployment_options& options,
        const std::vector<declared_class>& classes,
        const std::vector<offered_class>& ready)
    {
        auto started = deployment::start(options);
        ASSERT_TRUE(started) << started.error().message();
        cluster = std::move(*started);
        ASSERT_TRUE(cluster->declare(classes)) << cluster->logs();
        for (const auto& offered : ready)
        {
            ASSERT_TRUE(cluster->wait_served(offered))
                << offered.name << " isn't served\n"
                << cluster->logs();
        }
    }

    // Load on all daemons; each try goes to the next one.
    [[nodiscard]] load_options
    load(const std::vector<offered_class>& classes, double seconds) const
    {
        load_options options;
        options.daemons = cluster->all_daemon_callers();
        options.classes = classes;
        options.length = std::chrono::milliseconds(
            static_cast<std::int64_t>(seconds * 1000.0));
        options.retries = client_retries::as_answer_allows;
        options.max_tries = 8;
        return options;
    }

    [[nodiscard]] static running_load run_beside(const load_options& options)
    {
        return running_load(options);
    }

    // Waits until the service's upstreams have started `count` more calls.
    [[nodiscard]] bool
    wait_started(const std::string& service, std::size_t count) const
    {
        const auto before = cluster->executions_by_token(service).size();
        return wait_until(
            [&]
            {
                return cluster->executions_by_token(service).size() >=
                       before + count;
            });
    }

    // Requires: upstreams make no sub-calls, which carry the same token.
    void expect_no_violation(const std::vector<load_record>& records) const
    {
        const auto violations =
            check_executions(records, cluster->executions_by_token());
        EXPECT_TRUE(violations.empty()) << to_text(violations) << '\n'
                                        << cluster->logs();
    }

    static void
    expect_completed(const std::vector<load_record>& records, double min_share)
    {
        const auto completed =
            count_outcome(records, caller_outcome::completed);
        load_options for_table;
        EXPECT_GE(
            static_cast<double>(completed),
            min_share * static_cast<double>(records.size()))
            << to_table(records, for_table);
    }

    std::unique_ptr<deployment> cluster;
};

} // namespace nutmegusher::test_support

#endif
