// Adapts a claim table to the `state_machine` concept of the package `control`.
#ifndef NUTMEGUSHER_NODE_CLAIM_STATE_MACHINE_HPP
#define NUTMEGUSHER_NODE_CLAIM_STATE_MACHINE_HPP

#include "nutmegusher/control/control.hpp"
#include "nutmegusher/execution/execution.hpp"

#include <string>
#include <string_view>
#include <utility>

namespace nutmegusher::node
{

// A claim table that is replicated through a log.
class claim_state_machine
{
public:
    using result_type = messages::claim_result;

    claim_state_machine() = default;

    // Requires: the entry holds a claim command.
    messages::claim_result apply(const messages::log_entry& entry)
    {
        return table_.apply(entry.claim());
    }

    [[nodiscard]] std::string snapshot() const
    {
        return table_.snapshot();
    }

    [[nodiscard]] static leaf::result<claim_state_machine>
    restore(std::string_view bytes)
    {
        BOOST_LEAF_AUTO(table, claim_table::restore(bytes));
        return claim_state_machine(std::move(table));
    }

    [[nodiscard]] const claim_table& table() const
    {
        return table_;
    }

private:
    explicit claim_state_machine(claim_table table)
        : table_(std::move(table))
    {
    }

    claim_table table_;
};

static_assert(state_machine<claim_state_machine>);
static_assert(state_machine<configuration_store>);

} // namespace nutmegusher::node

#endif
