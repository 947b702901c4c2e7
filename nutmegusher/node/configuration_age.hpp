// The age of this process's configuration.
#ifndef NUTMEGUSHER_NODE_CONFIGURATION_AGE_HPP
#define NUTMEGUSHER_NODE_CONFIGURATION_AGE_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/node/suspension_meter.hpp"

#include <atomic>

namespace nutmegusher::node
{

// Up to when the configuration that this process runs is proved to contain all
// accepted changes.
//
// To decide on a request by a configuration of a known age, read the age first
// and take the configuration after it: the one that was proved to be that
// recent has been applied by then. Nothing that was accepted longer than that
// age before the request was sent is missing.
//
// Thread-safe.
class configuration_age
{
public:
    // Requires: a configuration that contains all changes accepted up to then
    // has been applied. `at`: a reading of `host_clock`.
    void advance(time_point at);

    // Includes the time for which the host was suspended;
    // `duration::max()` if nothing was proved yet.
    [[nodiscard]] duration now();

private:
    std::atomic<duration::rep> current_at_ = 0;
    suspension_meter suspensions_;
};

} // namespace nutmegusher::node

#endif
