// The configuration as a state machine: what is declared, and who changed it.
#ifndef NUTMEGUSHER_CONTROL_CONFIGURATION_STORE_HPP
#define NUTMEGUSHER_CONTROL_CONFIGURATION_STORE_HPP

#include "nutmegusher/base/base.hpp"
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

// How much a store remembers. All replicas of a group must have the same.
struct configuration_limits
{
    std::size_t classes = 10'000;
    // Accepted changes kept for deltas and `history`: five hours of 18,000 a
    // day. Who is further behind gets the whole configuration.
    std::size_t history = 4'096;
    // Answers kept for resends: three and a half days of 18,000 a day.
    std::size_t remembered = 65'536;
};

// The bytes of a snapshot can't be understood.
struct bad_configuration_snapshot
{
};

// Applies changes one after the other.
//
// - A change names the revision of its class that the operator saw. Where the
//   class has moved on the change is a conflict: of two that race one wins.
// - A change id is answered once: a resend gets the first answer, and other
//   content under the same id is refused.
// - Every accepted change raises the revision by one; nothing lowers it.
// - A document of routes replaces the one before whole. It must name the
//   present document's version as the one that it builds on, and have a higher
//   one. Only its acceptance is remembered: a document that came too early may
//   be sent again.
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

    // For `state_machine`. Requires: the entry holds a change.
    messages::change_result apply(const messages::log_entry& entry);

    // What `apply` would answer now, without doing it.
    [[nodiscard]] messages::change_result
    check(const messages::change& change) const;

    // True where the change id has its answer, which `check` then gives.
    [[nodiscard]] bool has_result_for(const messages::change& change) const;

    [[nodiscard]] nutmegusher::revision revision() const
    {
        return revision_;
    }

    // All that is in force, by name.
    [[nodiscard]] messages::configuration present() const;

    // What leads from `from` to the present: the changes, or all of it where
    // they aren't kept any more. Empty where `from` is the present.
    [[nodiscard]] messages::configuration_delta
    delta_since(nutmegusher::revision from) const;

    // Accepted changes, oldest first; at most `limits.history`.
    [[nodiscard]] const std::deque<messages::accepted_change>& history() const
    {
        return history_;
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
    void commit_change(const messages::change& change);
    void record_result(
        const messages::change& change, const messages::change_result& answer);

    configuration_limits limits_;
    nutmegusher::revision revision_;
    std::map<std::string, messages::work_class, std::less<>> classes_;
    messages::route_document routes_;
    // A change of routes stands here without its content.
    std::deque<messages::accepted_change> history_;
    std::map<std::string, recorded_result, std::less<>> results_;
    std::deque<std::string> result_order_;
};

// The configuration after `delta`. Requires: `delta` was made for its revision.
void apply_delta(
    messages::configuration& target,
    const messages::configuration_delta& delta);

// A copy of an accepted change for lists that are kept: of a document of routes
// only the numbers, as hundreds of whole ones would outweigh all else.
[[nodiscard]] messages::accepted_change
without_routes(const messages::accepted_change& accepted);

// Whether one of the delta's changes replaced the routes.
[[nodiscard]] bool replaces_routes(const messages::configuration_delta& delta);

} // namespace nutmegusher

#endif
