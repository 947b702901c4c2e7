// The concept of a state machine that is driven by a replicated log.
#ifndef NUTMEGUSHER_CONTROL_STATE_MACHINE_HPP
#define NUTMEGUSHER_CONTROL_STATE_MACHINE_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/messages/replication.pb.h"

#include <concepts>
#include <string>
#include <string_view>

namespace nutmegusher
{

// `apply` is called once for each committed entry with a payload (not for
// no-operation entries and membership changes), in log order. It must depend on
// nothing but the state and the entry. `restore` reads what `snapshot` wrote
// and fails with an error type of its own.
template <class T>
concept state_machine = std::default_initializable<T> && std::movable<T> &&
    requires(
        T& machine,
        const T& constant,
        const messages::log_entry& entry,
        std::string_view bytes)
{
    typename T::result_type;
    {
        machine.apply(entry)
        } -> std::same_as<typename T::result_type>;
    {
        constant.snapshot()
        } -> std::same_as<std::string>;
    {
        T::restore(bytes)
        } -> std::same_as<leaf::result<T>>;
};

} // namespace nutmegusher

#endif
