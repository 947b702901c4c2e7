// Decodes arbitrary bytes as each of the messages. Decoding must succeed or
// fail cleanly, and a decoded message must survive a round trip.
#include "nutmegusher/messages/configuration.pb.h"
#include "nutmegusher/messages/execution.pb.h"
#include "nutmegusher/messages/replication.pb.h"
#include "nutmegusher/messages/sync.pb.h"

#include <google/protobuf/stubs/logging.h>

#include <cstdint>
#include <cstdlib>
#include <string>

namespace
{

using namespace nutmegusher::messages;

template <class Message>
void decode(const std::string& bytes)
{
    Message message;
    if (!message.ParseFromString(bytes))
    {
        return;
    }
    Message again;
    const bool decodes = again.ParseFromString(message.SerializeAsString());
    if (!decodes)
    {
        std::abort();
    }
}

// Otherwise each string that isn't UTF-8 writes a line to standard error.
[[maybe_unused]] const auto former_handler =
    google::protobuf::SetLogHandler(nullptr);

} // namespace

// The first byte chooses the message.
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
    const std::string bytes(reinterpret_cast<const char*>(data + 1), size - 1);
    switch (data[0] % 6)
    {
    case 0:
        decode<replica_batch>(bytes);
        break;
    case 1:
        decode<sync_request>(bytes);
        break;
    case 2:
        decode<sync_reply>(bytes);
        break;
    case 3:
        decode<claim_command>(bytes);
        break;
    case 4:
        decode<configuration>(bytes);
        break;
    default:
        decode<registry_update>(bytes);
        break;
    }
    return 0;
}
