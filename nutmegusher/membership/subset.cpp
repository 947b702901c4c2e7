#include "nutmegusher/membership/subset.hpp"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace nutmegusher
{
namespace
{

enum class distance : std::uint8_t
{
    same_data_center,
    same_region,
    other_region
};

struct ranked_candidate
{
    distance distance_class;
    std::uint64_t score;
    std::string_view host;
    std::size_t position;

    friend bool
    operator<(const ranked_candidate& one, const ranked_candidate& other)
    {
        return std::tuple(one.distance_class, one.score, one.host) <
               std::tuple(other.distance_class, other.score, other.host);
    }
};

distance distance_between(const locality& own_locality, const locality& other)
{
    if (own_locality == other)
    {
        return distance::same_data_center;
    }
    return own_locality.region == other.region ? distance::same_region
                                               : distance::other_region;
}

} // namespace

std::vector<std::size_t> choose_subset(
    const host_id& self,
    const locality& own_locality,
    std::span<const subset_candidate> candidates,
    const subset_options& options)
{
    const auto seed = stable_hash(self.str());
    std::vector<ranked_candidate> all;
    all.reserve(candidates.size());
    for (std::size_t position = 0; position < candidates.size(); ++position)
    {
        const auto& candidate = candidates[position];
        all.push_back(
            {distance_between(own_locality, candidate.at),
             stable_hash(candidate.host, seed),
             candidate.host,
             position});
    }
    std::sort(all.begin(), all.end());

    const auto near = static_cast<std::size_t>(std::count_if(
        all.begin(),
        all.end(),
        [](const ranked_candidate& one)
        {
            return one.distance_class == distance::same_data_center;
        }));
    const auto far = all.size() - near;
    const auto max_near =
        options.max_size - std::min({options.max_far, far, options.max_size});
    const auto taken_near = std::min(near, max_near);
    const auto taken_far = std::min(far, options.max_size - taken_near);

    std::vector<std::size_t> chosen;
    chosen.reserve(taken_near + taken_far);
    for (std::size_t index = 0; index < all.size(); ++index)
    {
        const bool is_near = index < near;
        if (is_near ? index < taken_near : index - near < taken_far)
        {
            chosen.push_back(all[index].position);
        }
    }
    return chosen;
}

} // namespace nutmegusher
