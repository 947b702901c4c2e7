// Who a data folder is: a random number made with the folder.
#ifndef NUTMEGUSHER_CONTROL_HOST_IDENTITY_HPP
#define NUTMEGUSHER_CONTROL_HOST_IDENTITY_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/control/disk.hpp"
#include "nutmegusher/control/frame.hpp"
#include "nutmegusher/messages/replication.pb.h"

#include <string>
#include <string_view>

namespace nutmegusher
{

inline constexpr std::string_view identity_file = "identity";

// Writes the identity; durable when it returns.
template <disk Disk>
[[nodiscard]] leaf::result<void>
save_identity(Disk& target, const messages::host_identity& identity)
{
    std::string bytes;
    append_frame(bytes, identity.SerializeAsString());
    return target.replace(identity_file, bytes);
}

// Reads the identity, or makes a new one where the folder is empty: an emptied
// folder never comes back as the voter that it was. Fails with `missing` where
// only the identity is gone, with `other_host` where another host wrote it,
// with `bad_checksum` and `bad_content`. Requires: `engine` is seeded by the
// system's entropy, outside of tests.
template <disk Disk>
[[nodiscard]] leaf::result<messages::host_identity>
load_identity(Disk& target, const host_id& host, random_engine& engine)
{
    BOOST_LEAF_AUTO(bytes, target.read(identity_file));
    messages::host_identity identity;
    if (bytes)
    {
        BOOST_LEAF_AUTO(content, single_frame(*bytes, identity_file));
        if (!identity.ParseFromArray(
                content.data(), static_cast<int>(content.size())))
        {
            return leaf::new_error(storage_failure{
                storage_fault::bad_content, std::string(identity_file)});
        }
        if (identity.host() != host.str())
        {
            return leaf::new_error(storage_failure{
                storage_fault::other_host, std::string(identity_file)});
        }
        return identity;
    }
    BOOST_LEAF_AUTO(log, target.read("group-0/log"));
    if (log)
    {
        return leaf::new_error(storage_failure{
            storage_fault::missing, std::string(identity_file)});
    }
    while (identity.identity() == 0)
    {
        identity.set_identity(engine());
    }
    identity.set_host(host.str());
    BOOST_LEAF_CHECK(save_identity(target, identity));
    return identity;
}

} // namespace nutmegusher

#endif
