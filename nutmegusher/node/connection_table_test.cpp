#include "nutmegusher/node/connection_table.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace nutmegusher::node
{
namespace
{

class connection_table_test : public ::testing::Test
{
protected:
    static constexpr std::size_t most = 4;

    // Opens connections until the table is full.
    void fill()
    {
        while (connections.size() < most)
        {
            open();
            clock.advance(std::chrono::milliseconds(1));
        }
    }

    void open()
    {
        const auto number = connections.size();
        connections.push_back(std::make_unique<connection_table::entry>(
            table,
            [this, number]
            {
                ended.push_back(number);
            }));
    }

    manual_clock clock;
    std::shared_ptr<connection_table> table =
        std::make_shared<connection_table>(most);
    std::vector<std::unique_ptr<connection_table::entry>> connections;
    std::vector<std::size_t> ended;
};

TEST_F(connection_table_test, ends_nobody_while_there_is_room)
{
    open();
    connections[0]->wait_for_caller(clock.now());
    clock.advance(std::chrono::hours(1));
    EXPECT_TRUE(table->make_room(clock.now()));
    EXPECT_TRUE(ended.empty());
}

TEST_F(connection_table_test, ends_the_one_that_was_waited_for_longest)
{
    fill();
    connections[2]->wait_for_caller(clock.now());
    clock.advance(std::chrono::milliseconds(1));
    connections[1]->wait_for_caller(clock.now());
    clock.advance(connection_table::stall_time);
    EXPECT_TRUE(table->make_room(clock.now()));
    EXPECT_TRUE(connections[2]->is_ending());
    open();
    EXPECT_TRUE(table->make_room(clock.now()));
    EXPECT_EQ(ended, (std::vector<std::size_t>{2, 1}));
}

TEST_F(connection_table_test, ends_nobody_that_moves_or_is_served)
{
    fill();
    for (auto& each : connections)
    {
        each->wait_for_caller(clock.now());
    }
    clock.advance(connection_table::stall_time);
    connections[0]->stop_waiting();
    for (std::size_t i = 1; i < most; ++i)
    {
        connections[i]->stop_waiting();
        connections[i]->wait_for_caller(clock.now());
    }
    EXPECT_FALSE(table->make_room(clock.now()));
    EXPECT_TRUE(ended.empty());
}

// A caller that sends a byte now and then has still been waited for.
TEST_F(connection_table_test, a_pause_does_not_begin_the_wait_anew)
{
    fill();
    connections[0]->wait_for_caller(clock.now());
    connections[0]->pause();
    clock.advance(connection_table::stall_time);
    EXPECT_FALSE(table->make_room(clock.now()));
    connections[0]->wait_for_caller(clock.now());
    EXPECT_TRUE(table->make_room(clock.now()));
}

TEST_F(connection_table_test, an_ending_connection_makes_room_once)
{
    fill();
    connections[0]->wait_for_caller(clock.now());
    clock.advance(connection_table::stall_time);
    EXPECT_TRUE(table->make_room(clock.now()));
    open();
    EXPECT_FALSE(table->make_room(clock.now()));
    connections[0].reset();
    EXPECT_FALSE(table->make_room(clock.now()));
    connections[1].reset();
    EXPECT_TRUE(table->make_room(clock.now()));
}

} // namespace
} // namespace nutmegusher::node
