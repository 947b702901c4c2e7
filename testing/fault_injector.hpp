// Injects random faults into a deployment's processes and connections,
// reproducibly by seed.
#ifndef NUTMEGUSHER_TESTING_FAULT_INJECTOR_HPP
#define NUTMEGUSHER_TESTING_FAULT_INJECTOR_HPP

#include "testing/deployment.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace nutmegusher::test_support
{

// Keeps up to two faults active and repairs each after a few steps. At most a
// minority of the control hosts is faulty at any moment, and data folders are
// kept; focused tests cover more severe faults.
class fault_injector
{
public:
    fault_injector(deployment& target, std::uint64_t seed);

    // Repairs expired faults and may inject one. Call it every few hundred ms.
    void step();

    // Repairs all active faults.
    void repair_all();

    // Number of injected faults by kind.
    [[nodiscard]] const std::map<std::string, std::uint64_t>& injected() const
    {
        return injected_;
    }

private:
    enum class component_kind : std::uint8_t
    {
        control,
        daemon,
        upstream,
        upstream_connections,
        control_network
    };
    enum class fault_kind : std::uint8_t
    {
        killed,
        frozen,
        silenced,
        cut,
        isolated,
        misbehaving,
        leaving
    };
    struct fault
    {
        component_kind component = component_kind::daemon;
        fault_kind kind = fault_kind::killed;
        std::size_t index = 0;
        std::uint32_t steps_left = 0;
    };

    [[nodiscard]] fault choose();
    [[nodiscard]] bool allowed(const fault& wanted) const;
    void apply(const fault& wanted);
    void repair(const fault& active);
    void break_process(child_process& process, fault_kind kind);
    void misbehave(std::size_t index);

    deployment& target_;
    random_engine random_;
    std::vector<fault> active_;
    std::map<std::string, std::uint64_t> injected_;
};

} // namespace nutmegusher::test_support

#endif
