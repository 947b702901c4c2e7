#include "nutmegusher/routed/peer_fields.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string>
#include <string_view>
#include <utility>

namespace nutmegusher::routed
{

namespace
{

constexpr std::string_view metadata_field = "nutmeg-routed";
constexpr std::string_view host_field = "nutmeg-host";
constexpr std::string_view service_field = "nutmeg-service";
constexpr std::string_view id_field = "nutmeg-call";
constexpr std::string_view caller_field = "nutmeg-caller";
constexpr std::string_view data_center_field = "nutmeg-from";
constexpr std::string_view team_field = "nutmeg-caller-team";
constexpr std::string_view load_field = "nutmeg-load";
constexpr std::string_view shed_field = "nutmeg-shed";
constexpr std::string_view sub_call_field = "nutmeg-sub-call";
constexpr std::string_view crashed_field = "nutmeg-ended";
constexpr std::string_view daemon_prefix = "nutmeg-";
constexpr std::size_t max_metadata_fields = 7;
constexpr double level_scale = 1000;
constexpr double rate_scale = 1000;
// In thousandths of a call a second; more is no limit in practice.
constexpr double max_rate = 1e12;

constexpr unsigned repeatable_bit = 1;
constexpr unsigned bulk_bit = 2;
constexpr unsigned sub_call_bit = 4;
constexpr unsigned repeat_bit = 8;

// Splits a field at single spaces. A string stream would cost more than all
// other work on the field.
class field_words
{
public:
    explicit field_words(std::string_view text)
        : rest_(text)
    {
    }

    // Returns an empty view at the end.
    std::string_view next()
    {
        const auto end = std::min(rest_.find(' '), rest_.size());
        const auto value = rest_.substr(0, end);
        rest_.remove_prefix(std::min(end + 1, rest_.size()));
        return value;
    }

    // Returns false if the next word isn't a number that fits.
    template <class Number>
    bool read(Number& into)
    {
        const auto value = next();
        return parse(value, into);
    }

    template <class Number>
    static bool parse(std::string_view value, Number& into)
    {
        const auto* const end = value.data() + value.size();
        const auto [stop, error] = std::from_chars(value.data(), end, into);
        return error == std::errc() && stop == end && !value.empty();
    }

private:
    std::string_view rest_;
};

void add(wire::headers& to, std::string_view name, std::string value)
{
    to.push_back({std::string(name), std::move(value)});
}

// "rank flags milliseconds-left target-milliseconds class digest [rate-limit]",
// the last in thousandths of a call a second, for example
// "2 1 4980 1500 1234567890 9876543210 22500".
std::string format_metadata(const call_metadata& metadata)
{
    const unsigned flags = (metadata.repeatable ? repeatable_bit : 0) |
                           (metadata.bulk ? bulk_bit : 0) |
                           (metadata.sub_call ? sub_call_bit : 0) |
                           (metadata.repeat ? repeat_bit : 0);
    std::string text = std::to_string(metadata.rank);
    text += ' ' + std::to_string(flags);
    text += ' ' + node::to_milliseconds(metadata.time_left());
    text += ' ' + node::to_milliseconds(metadata.target);
    text += ' ' + std::to_string(metadata.work_class);
    text += ' ' + std::to_string(metadata.digest);
    if (metadata.rate_limit)
    {
        const double scaled = *metadata.rate_limit * rate_scale;
        text += ' ' + std::to_string(std::llround(std::min(scaled, max_rate)));
    }
    return text;
}

// "running waiting slots hold-in-microseconds errors [pace]", errors in
// thousandths and the pace in percent, for example "31 4 31 22000 0 250".
std::string format_load(const upstream_load& load)
{
    using std::chrono::microseconds;
    const auto hold = std::chrono::duration_cast<microseconds>(load.slot_time);
    auto text =
        std::to_string(load.running) + ' ' + std::to_string(load.waiting) +
        ' ' + std::to_string(load.slots) + ' ' + std::to_string(hold.count()) +
        ' ' + std::to_string(std::lround(load.errors * level_scale));
    if (load.pace > 0)
    {
        text += ' ' + std::to_string(load.pace);
    }
    return text;
}

std::optional<upstream_load> parse_load(std::string_view text)
{
    field_words words(text);
    upstream_load load;
    std::int64_t hold = 0;
    unsigned errors = 0;
    if (!words.read(load.running) || !words.read(load.waiting) ||
        !words.read(load.slots) || !words.read(hold) || !words.read(errors))
    {
        return std::nullopt;
    }
    // Optional: not all upstreams report it, and daemons of an earlier version
    // don't send it.
    words.read(load.pace);
    load.errors = errors / level_scale;
    load.slot_time = std::chrono::microseconds(hold);
    return load;
}

constexpr std::string_view repeats_suffix = ":repeats";

// "balances=400 statements=0 balances:repeats=1700". Daemons of an earlier
// version take the last one for the level of another service.
std::string format_shed(std::span<const shed_level> levels)
{
    std::string text;
    for (const auto& each : levels)
    {
        text += text.empty() ? "" : " ";
        text += each.service.str();
        text += each.cause == shed_cause::repeats ? repeats_suffix : "";
        text += '=';
        text += std::to_string(static_cast<int>(each.level * level_scale));
    }
    return text;
}

// Skips malformed items: shed levels are only hints.
std::vector<shed_level> parse_shed(std::string_view text)
{
    std::vector<shed_level> levels;
    field_words words(text);
    for (auto item = words.next(); !item.empty(); item = words.next())
    {
        const auto equals = item.rfind('=');
        unsigned level = 0;
        if (equals != std::string_view::npos &&
            field_words::parse(item.substr(equals + 1), level))
        {
            auto name = item.substr(0, equals);
            const bool is_repeats = name.ends_with(repeats_suffix);
            name.remove_suffix(is_repeats ? repeats_suffix.size() : 0);
            levels.push_back(
                {service_name(name),
                 level / level_scale,
                 is_repeats ? shed_cause::repeats : shed_cause::slots});
        }
    }
    return levels;
}

} // namespace

void add_metadata(const call_metadata& metadata, wire::headers& to)
{
    to.reserve(to.size() + max_metadata_fields);
    add(to, metadata_field, format_metadata(metadata));
    add(to, id_field, metadata.id);
    add(to, host_field, metadata.host);
    add(to, service_field, metadata.service.str());
    add(to, caller_field, metadata.caller_service.str());
    add(to, data_center_field, metadata.caller_data_center.str());
    if (!metadata.team.empty())
    {
        add(to, team_field, metadata.team);
    }
}

bool has_metadata(const wire::headers& fields)
{
    return wire::find_header(fields, metadata_field).has_value();
}

std::optional<call_metadata> parse_metadata(const wire::headers& from)
{
    const auto text = wire::find_header(from, metadata_field);
    const auto id = wire::find_header(from, id_field);
    const auto service = wire::find_header(from, service_field);
    if (!text || !id || !service || service->empty())
    {
        return std::nullopt;
    }
    field_words words(*text);
    unsigned rank = 0;
    unsigned flags = 0;
    std::uint32_t left = 0;
    std::uint32_t target = 0;
    call_metadata metadata;
    if (!words.read(rank) || !words.read(flags) || !words.read(left) ||
        !words.read(target) || !words.read(metadata.work_class) ||
        rank >= rank_count)
    {
        return std::nullopt;
    }
    // Optional: daemons of an earlier version don't send the digest.
    words.read(metadata.digest);
    std::uint64_t rate = 0;
    if (words.read(rate))
    {
        metadata.rate_limit = static_cast<double>(rate) / rate_scale;
    }
    metadata.id = *id;
    metadata.service = service_name(*service);
    metadata.host = wire::find_header(from, host_field).value_or("");
    metadata.caller_service =
        service_name(wire::find_header(from, caller_field).value_or(""));
    metadata.caller_data_center = data_center_name(
        wire::find_header(from, data_center_field).value_or(""));
    metadata.team = wire::find_header(from, team_field).value_or("");
    metadata.rank = static_cast<std::uint8_t>(rank);
    metadata.repeatable = (flags & repeatable_bit) != 0;
    metadata.bulk = (flags & bulk_bit) != 0;
    metadata.sub_call = (flags & sub_call_bit) != 0;
    metadata.repeat = (flags & repeat_bit) != 0;
    metadata.target = std::chrono::milliseconds(target);
    metadata.deadline = host_clock().now() + std::chrono::milliseconds(left);
    return metadata;
}

void add_load_report(const upstream_load_report& value, wire::headers& to)
{
    add(to, load_field, format_load(value.load));
    add(to, shed_field, format_shed(value.shed));
    if (value.is_sub_call)
    {
        add(to, sub_call_field, "yes");
    }
}

std::optional<upstream_load_report> parse_load_report(const wire::headers& from)
{
    const auto text = wire::find_header(from, load_field);
    const auto load = parse_load(text.value_or(""));
    if (!load)
    {
        return std::nullopt;
    }
    upstream_load_report value;
    value.load = *load;
    const auto shed = wire::find_header(from, shed_field);
    value.shed = parse_shed(shed.value_or(""));
    value.is_sub_call = wire::find_header(from, sub_call_field).has_value();
    return value;
}

void add_crashed_upstream(const crashed_upstream& crashed, wire::headers& to)
{
    add(to,
        crashed_field,
        std::to_string(crashed.upstream) + ' ' +
            node::to_milliseconds(crashed.ran_for));
}

std::optional<crashed_upstream>
parse_crashed_upstream(const wire::headers& from)
{
    field_words words(wire::find_header(from, crashed_field).value_or(""));
    crashed_upstream crashed;
    std::uint32_t ran_for = 0;
    if (!words.read(crashed.upstream) || !words.read(ran_for))
    {
        return std::nullopt;
    }
    crashed.ran_for = std::chrono::milliseconds(ran_for);
    return crashed;
}

wire::headers without_own_fields(wire::headers fields)
{
    std::erase_if(
        fields,
        [](const wire::header& item)
        {
            return item.name.starts_with(daemon_prefix);
        });
    return fields;
}

} // namespace nutmegusher::routed
