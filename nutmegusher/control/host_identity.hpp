// The identity of a data folder: a random number created with the folder.
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

// Writes the identity, which is durable when this returns.
template <disk Disk>
[[nodiscard]] leaf::result<void>
save_identity(Disk& target, const messages::host_identity& identity)
{
    std::string bytes;
    append_frame(bytes, identity.SerializeAsString());
    return target.replace(identity_file, bytes);
}

// Reads the identity, or creates a new one if the folder is empty, so that an
// emptied folder never rejoins as the voter that it was. Fails with `missing`
// if only the identity file is gone, with `other_host` if another host wrote
// it, and with `bad_checksum` or `bad_content` if it is damaged. Requires:
// outside of tests, `engine` is seeded from the system's entropy.
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
