// Answers that are broken, and sound ones of unusual form, as the client of the
// upstream reads them.
#include "nutmegusher/node/upstream_client_fixture.hpp"

namespace nutmegusher::node
{
namespace
{

using namespace test;

class invalid_status : public upstream_client,
                       public ::testing::WithParamInterface<const char*>
{
};

// Guards against an answer that the caller's own parser refuses.
TEST_P(invalid_status, is_malformed)
{
    start(
        [](const text_request& request)
        {
            return "HTTP/1.1 " + std::string(GetParam()) +
                   " OK\r\nid: " + std::string(request["id"]) +
                   "\r\ncontent-length: 4\r\n\r\nbody";
        });
    EXPECT_EQ(call("a").failure, upstream_failure::malformed);
    EXPECT_EQ(call("b").failure, upstream_failure::malformed);
    EXPECT_EQ(connections(), 2);
}

INSTANTIATE_TEST_SUITE_P(
    codes, invalid_status, ::testing::Values("000", "099", "600", "999"));

// RFC 9110, section 15: an unknown status counts as the first of its class.
TEST_F(upstream_client, passes_a_status_without_a_registered_meaning)
{
    start(
        [](const text_request& request)
        {
            return "HTTP/1.1 299 \r\nid: " + std::string(request["id"]) +
                   "\r\ncontent-length: 3\r\n\r\nown";
        });
    const auto end = call("a");
    EXPECT_EQ(end.status, 299U);
    EXPECT_EQ(end.body, "own");
}

} // namespace
} // namespace nutmegusher::node
