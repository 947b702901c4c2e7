// Reads arbitrary bytes as what the platform and its upstreams send. Reading
// must succeed or fail with an error that names the field.
#include "nutmegusher/policy/policy.hpp"

#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "platform/configuration.hpp"
#include "platform/instance_report.hpp"

namespace
{

template <class Read>
void read_or_reject(const Read& read)
{
    platform::leaf::try_handle_all(
        [&]() -> platform::leaf::result<void>
        {
            BOOST_LEAF_CHECK(read());
            return {};
        },
        [](const platform::format_error&) {},
        []
        {
            std::abort();
        });
}

} // namespace

// The first byte chooses the reader.
// libFuzzer prescribes the function's name.
// NOLINTBEGIN(readability-identifier-naming)
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
// NOLINTEND(readability-identifier-naming)
{
    if (size == 0)
    {
        return 0;
    }
    const std::string_view bytes(
        reinterpret_cast<const char*>(data + 1), size - 1);
    switch (data[0] % 4)
    {
    case 0:
        read_or_reject(
            [bytes]
            {
                return platform::read_configuration(bytes);
            });
        break;
    case 1:
        read_or_reject(
            [bytes]
            {
                return platform::read_instance_report("i-1", bytes);
            });
        break;
    case 2:
        read_or_reject(
            [bytes]
            {
                return platform::read_withdrawal(bytes);
            });
        break;
    default:
        static_cast<void>(nutmegusher::parse_reported_load(bytes));
    }
    return 0;
}
