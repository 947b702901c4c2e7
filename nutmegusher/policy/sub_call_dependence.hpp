// Tells which classes of calls at an upstream fail when its sub-calls fail.
//
//     dependence.on_sub_call(failed, now);          // a sub-call has ended
//     dependence.on_answer(work_class, is_error, now);
//     if (dependence.depends(work_class)) report(levels_of_called_services);
//
// Pattern of load: an upstream serves two classes, and only one of them makes
// sub-calls. A service further down has too little room for them. If answers of
// both classes report its shed level, the entries refuse the class that never
// needed it.
//
// Sub-calls don't name the call that makes them, so the evidence is the
// outcome: while a considerable share of the sub-calls fails, the answers of a
// class that makes some are errors much more often than those of one that
// doesn't. A class counts as dependent until enough of its answers say
// otherwise: a level that is reported in vain is forgotten within seconds.
#ifndef NUTMEGUSHER_POLICY_SUB_CALL_DEPENDENCE_HPP
#define NUTMEGUSHER_POLICY_SUB_CALL_DEPENDENCE_HPP

#include "nutmegusher/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace nutmegusher
{

class sub_call_dependence
{
public:
    void on_sub_call(bool failed, time_point now);
    void on_answer(std::uint64_t work_class, bool is_error, time_point now);

    // Another process of the upstream has started.
    void reset();

    [[nodiscard]] bool depends(std::uint64_t work_class) const;

    // Answers count as evidence only while at least this share of the sub-calls
    // fails.
    static constexpr double min_failed_share = 0.2;
    // Of a class without sub-calls the users' upstreams fail 1 in 1,000; of one
    // with a single sub-call at least `min_failed_share` fail.
    static constexpr double max_independent_error_share = 0.05;
    // One error in twenty answers is within chance for an independent class.
    static constexpr double min_answers = 20;
    // Counts are halved beyond this number, so that a class that begins to make
    // sub-calls is recognised.
    static constexpr double max_answers = 400;
    // Bound on the number of classes; further ones count as dependent.
    static constexpr std::size_t max_classes = 4096;

private:
    struct counts
    {
        double answers = 0;
        double errors = 0;
    };

    // Half-life of the counts of sub-calls.
    static constexpr duration half_life = std::chrono::milliseconds(500);

    [[nodiscard]] double failed_share(time_point now) const;

    double sub_calls_ = 0;
    double failed_ = 0;
    time_point at_;
    std::unordered_map<std::uint64_t, counts> classes_;
};

} // namespace nutmegusher

#endif
