#include "nutmegusher/node/crash_store.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>

namespace nutmegusher::node
{
namespace
{

using std::chrono::milliseconds;

constexpr std::uint64_t wall_ms = 1'700'000'000'000;
constexpr time_point now{std::chrono::hours(100)};

std::vector<crash_record> one_record()
{
    crash_record record;
    record.digest = 77;
    record.service = "views";
    for (std::uint64_t upstream = 1; upstream <= 3; ++upstream)
    {
        const auto crashed_at = now - milliseconds(1000 * (4 - upstream));
        record.ends.push_back(
            {upstream, crashed_at - milliseconds(70), crashed_at});
    }
    return {record};
}

class crash_store : public ::testing::Test
{
protected:
    crash_store()
    {
        std::string name =
            std::filesystem::temp_directory_path() / "crash_store_XXXXXX";
        folder = ::mkdtemp(name.data());
    }

    ~crash_store() override
    {
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }

    [[nodiscard]] file_disk open_disk() const
    {
        return std::move(file_disk::open(folder).value());
    }

    std::filesystem::path folder;
};

TEST_F(crash_store, keeps_a_quarantine_over_a_loss_of_all_power)
{
    auto disk = open_disk();
    ASSERT_TRUE(save_crashes(disk, one_record(), now, wall_ms));
    // After a restart the monotonic clock begins at another value.
    constexpr time_point later{std::chrono::seconds(50)};
    const auto stored = load_crashes(disk, later, wall_ms + 5000);
    ASSERT_TRUE(stored);
    ASSERT_EQ(stored->size(), 1U);
    EXPECT_EQ(
        later - stored->front().ends.back().crashed_at, milliseconds(6000));
    crash_evidence evidence;
    evidence.merge(stored->front(), later);
    EXPECT_EQ(
        evidence.assess(77, later).suspicion, crash_suspicion::quarantined);
}

TEST_F(crash_store, a_clock_that_was_set_back_adds_no_age)
{
    const auto bytes = encode_crashes(one_record(), now, wall_ms);
    const auto stored = decode_crashes(bytes, now, wall_ms - 60'000);
    ASSERT_EQ(stored.size(), 1U);
    EXPECT_EQ(now - stored.front().ends.back().crashed_at, milliseconds(1000));
}

TEST_F(crash_store, damaged_bytes_are_no_evidence)
{
    auto bytes = encode_crashes(one_record(), now, wall_ms);
    bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
    EXPECT_TRUE(decode_crashes(bytes, now, wall_ms).empty());
    EXPECT_TRUE(decode_crashes("", now, wall_ms).empty());
}

TEST_F(crash_store, an_empty_disk_keeps_nothing)
{
    auto disk = open_disk();
    const auto stored = load_crashes(disk, now, wall_ms);
    ASSERT_TRUE(stored);
    EXPECT_TRUE(stored->empty());
}

} // namespace
} // namespace nutmegusher::node
