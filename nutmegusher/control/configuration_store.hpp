// The configuration as a replicated state machine: declared classes, routes,
// and the history of changes.
#ifndef NUTMEGUSHER_CONTROL_CONFIGURATION_STORE_HPP
#define NUTMEGUSHER_CONTROL_CONFIGURATION_STORE_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/control/withdrawal_table.hpp"
#include "nutmegusher/messages/configuration.pb.h"
#include "nutmegusher/messages/replication.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegusher
{

// Limits of a store. Must be equal on all replicas of a group.
struct configuration_limits
{
    std::size_t classes = 10'000;
    // Accepted changes kept for deltas and `history`: five hours at 18,000
    // changes a day. A reader that is further behind is sent the whole
    // configuration.
    std::size_t history = 4'096;
    // Results kept for resent changes: three and a half days at 18,000 changes
    // a day.
    std::size_t remembered = 65'536;
};

// Error: the bytes of a snapshot can't be parsed.
struct bad_configuration_snapshot
{
};

// Applies changes in order.
//
// - A change names the revision of its class that the operator saw. If the
//   class has changed since, the change is a conflict: of two racing changes
//   one is accepted.
// - Changes are idempotent by change id: a resend gets the first result, and
//   different content under the same id is refused.
// - Every accepted change raises the revision by one; nothing lowers it.
// - A route document replaces the previous one as a whole. It must name the
//   present document's version as its base and have a higher version. Only its
//   acceptance is recorded: a document that arrived too early may be sent
//   again.
// - A withdrawal of an upstream is kept beside the configuration. It raises no
//   revision and stands in no delta.
//
//     configuration_store store;
//     const auto result = store.apply(change);
//     if (result.verdict() == messages::change_accepted) ...
class configuration_store
{
public:
    using result_type = messages::change_result;

    explicit configuration_store(const configuration_limits& limits = {});

    messages::change_result apply(const messages::change& change);

    // For the concept `state_machine`. Requires: the entry holds a change or a
    // withdrawal.
    messages::change_result apply(const messages::log_entry& entry);

    // Returns the result that `apply` would return now, and changes nothing.
    [[nodiscard]] messages::change_result
    check(const messages::change& change) const;

    // True if a result is recorded for the change id; `check` then returns it.
    [[nodiscard]] bool has_result_for(const messages::change& change) const;

    [[nodiscard]] nutmegusher::revision revision() const
    {
        return revision_;
    }

    // The whole configuration in force; classes are sorted by name.
    [[nodiscard]] messages::configuration present() const;

    // The difference between revision `from` and the present: the changes, or
    // the whole configuration if they aren't kept any more. Empty if `from` is
    // the present revision.
    [[nodiscard]] messages::configuration_delta
    delta_since(nutmegusher::revision from) const;

    // Accepted changes, oldest first; at most `limits.history`.
    [[nodiscard]] const std::deque<messages::accepted_change>& history() const
    {
        return history_;
    }

    [[nodiscard]] const withdrawal_table& withdrawals() const
    {
        return withdrawals_;
    }

    [[nodiscard]] std::string snapshot() const;

    // Fails with `bad_configuration_snapshot`.
    [[nodiscard]] static leaf::result<configuration_store>
    restore(std::string_view bytes);

private:
    struct recorded_result
    {
        std::uint64_t digest = 0;
        messages::change_result answer;
    };

    [[nodiscard]] messages::change_result
    validate_routes(const messages::route_document& document) const;
    [[nodiscard]] nutmegusher::revision
    class_revision(std::string_view name) const;
    [[nodiscard]] messages::change_result
    validate(const messages::change& change) const;
    [[nodiscard]] bool overlaps(const messages::work_class& declared) const;
    messages::change_result
    apply_withdrawal(const messages::upstream_withdrawal& withdrawal);
    void commit_change(const messages::change& change);
    void record_result(
        const messages::change& change, const messages::change_result& answer);

    configuration_limits limits_;
    nutmegusher::revision revision_;
    std::map<std::string, messages::work_class, std::less<>> classes_;
    messages::route_document routes_;
    // Changes of routes are kept without the document's content.
    std::deque<messages::accepted_change> history_;
    std::map<std::string, recorded_result, std::less<>> results_;
    std::deque<std::string> result_order_;
    withdrawal_table withdrawals_;
};

// Updates `target` by `delta`. Requires: `delta` was made for its revision.
void apply_delta(
    messages::configuration& target,
    const messages::configuration_delta& delta);

// A copy of an accepted change for histories. Of a route document it keeps only
// the version numbers, as hundreds of whole documents would outweigh everything
// else.
[[nodiscard]] messages::accepted_change
without_routes(const messages::accepted_change& accepted);

// True if one of the delta's changes replaced the routes.
[[nodiscard]] bool replaces_routes(const messages::configuration_delta& delta);

} // namespace nutmegusher

#endif
