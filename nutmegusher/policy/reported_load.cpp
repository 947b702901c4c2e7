#include "nutmegusher/policy/reported_load.hpp"

#include <algorithm>
#include <charconv>

namespace nutmegusher
{

namespace
{

std::string_view trimmed(std::string_view text)
{
    const auto begin = std::min(text.find_first_not_of(' '), text.size());
    text.remove_prefix(begin);
    const auto last = text.find_last_not_of(' ');
    return last == std::string_view::npos ? text : text.substr(0, last + 1);
}

// Removes the next figure from `text`. Returns false if there is none or it
// isn't a number that fits.
template <class Number>
bool take_figure(std::string_view& text, Number& into)
{
    const auto end = std::min(text.find(','), text.size());
    const auto figure = trimmed(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    const auto* const stop = figure.data() + figure.size();
    const auto [at, error] = std::from_chars(figure.data(), stop, into);
    return error == std::errc() && at == stop && !figure.empty();
}

} // namespace

std::optional<reported_load> parse_reported_load(std::string_view text)
{
    reported_load load;
    if (!take_figure(text, load.running) || !take_figure(text, load.waiting) ||
        !take_figure(text, load.slots))
    {
        return std::nullopt;
    }
    if (text.empty())
    {
        return load;
    }
    if (!take_figure(text, load.pace) || load.pace == 0 || load.pace > max_pace)
    {
        return std::nullopt;
    }
    return load;
}

void last_reported_load::record(const reported_load& load, time_point now)
{
    last_ = load;
    at_ = now;
}

void last_reported_load::reset()
{
    last_.reset();
}

std::uint32_t last_reported_load::pace(time_point now) const
{
    if (!last_ || last_->pace == 0)
    {
        return 0;
    }
    return now - at_ < lifetime ? last_->pace : usual_pace;
}

std::optional<reported_load> last_reported_load::load(time_point now) const
{
    return last_ && now - at_ < lifetime ? last_ : std::nullopt;
}

} // namespace nutmegusher
