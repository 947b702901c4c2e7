#include "bench/policy/trace.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>
#include <string_view>

namespace nutmegusher::bench
{

namespace
{

// Reads a row field by field. A missing or malformed field marks the row bad.
class row
{
public:
    explicit row(const std::string& line)
    {
        std::istringstream text(line);
        for (std::string field; std::getline(text, field, ',');)
        {
            fields_.push_back(field);
        }
    }

    std::string text()
    {
        if (next_ >= fields_.size())
        {
            good_ = false;
            return {};
        }
        return fields_[next_++];
    }

    double real()
    {
        const std::string field = text();
        double value = 0;
        const auto [stop, error] =
            std::from_chars(field.data(), field.data() + field.size(), value);
        good_ = good_ && error == std::errc() &&
                stop == field.data() + field.size();
        return value;
    }

    std::size_t count()
    {
        const double value = real();
        good_ = good_ && value >= 0;
        return good_ ? static_cast<std::size_t>(value) : 0;
    }

    duration milliseconds()
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(real()));
    }

    // The index of the item that the next field names.
    template <class Item>
    std::size_t index_in(const std::vector<Item>& items)
    {
        const std::string name = text();
        const auto found = std::find_if(
            items.begin(),
            items.end(),
            [&name](const Item& item)
            {
                return item.name == name;
            });
        good_ = good_ && found != items.end();
        return good_ ? static_cast<std::size_t>(found - items.begin()) : 0;
    }

    void fail()
    {
        good_ = false;
    }

    [[nodiscard]] bool good() const
    {
        return good_;
    }

private:
    std::vector<std::string> fields_;
    std::size_t next_ = 0;
    bool good_ = true;
};

void read_service(row& fields, trace& load)
{
    trace_service service;
    service.name = fields.text();
    service.upstreams = fields.count();
    service.slots = fields.count();
    service.connections = fields.count();
    load.services.push_back(service);
}

void read_class(row& fields, trace& load)
{
    trace_class work_class;
    work_class.name = fields.text();
    work_class.rank = static_cast<std::uint8_t>(fields.count());
    work_class.repeatable = fields.count() != 0;
    work_class.bulk = fields.count() != 0;
    work_class.target = fields.milliseconds();
    load.classes.push_back(work_class);
}

void read_hop(row& fields, trace& load)
{
    const std::size_t index = fields.index_in(load.classes);
    trace_hop hop;
    hop.service = fields.index_in(load.services);
    hop.work = fields.milliseconds();
    if (fields.good())
    {
        load.classes[index].hops.push_back(hop);
    }
}

void read_rate(row& fields, trace& load)
{
    trace_rate rate;
    rate.from = fields.milliseconds();
    rate.to = fields.milliseconds();
    const std::size_t index = fields.index_in(load.classes);
    rate.per_second = fields.real();
    if (fields.good())
    {
        load.classes[index].rates.push_back(rate);
    }
}

void read_customers(row& fields, trace& load)
{
    const std::size_t index = fields.index_in(load.classes);
    const std::size_t count = fields.count();
    const double share = fields.real();
    if (fields.good())
    {
        load.classes[index].customers = std::max<std::size_t>(count, 1);
        load.classes[index].first_customer_share = share;
    }
}

void read_slowdown(row& fields, trace& load)
{
    trace_slowdown slowdown;
    slowdown.from = fields.milliseconds();
    slowdown.to = fields.milliseconds();
    slowdown.service = fields.index_in(load.services);
    const std::string upstream = fields.text();
    if (upstream != "*")
    {
        row single(upstream);
        slowdown.upstream = single.count();
    }
    slowdown.factor = fields.real();
    load.slowdowns.push_back(slowdown);
}

bool read_outcome(const std::string& kind, row& fields, trace& load)
{
    trace_outcome expected;
    if (kind == "expect_served" || kind == "expect_others")
    {
        expected.kind = kind == "expect_served" ? outcome_kind::served
                                                : outcome_kind::others;
        expected.work_class = fields.index_in(load.classes);
    }
    else if (kind == "expect_recovery")
    {
        expected.kind = outcome_kind::recovery;
    }
    else if (kind == "expect_tries")
    {
        expected.kind = outcome_kind::tries;
    }
    else
    {
        return false;
    }
    expected.bound = fields.real();
    load.outcomes.push_back(expected);
    return true;
}

void read_topology_or_time(const std::string& kind, row& fields, trace& load)
{
    if (kind == "region")
    {
        load.data_centers = std::max<std::size_t>(fields.count(), 1);
        load.data_center_delay = fields.milliseconds();
        load.client_delay = fields.milliseconds();
    }
    else if (kind == "clients")
    {
        load.clients.tries = static_cast<std::uint32_t>(fields.count());
        load.clients.pause = fields.milliseconds();
        load.clients.honor_retry_after = fields.count() != 0;
    }
    else if (kind == "surge")
    {
        load.surge_from = fields.milliseconds();
        load.surge_to = fields.milliseconds();
    }
    else if (kind == "end")
    {
        load.end = fields.milliseconds();
    }
    else
    {
        fields.fail();
    }
}

void read_row(const std::string& kind, row& fields, trace& load)
{
    if (kind == "service")
    {
        read_service(fields, load);
    }
    else if (kind == "class")
    {
        read_class(fields, load);
    }
    else if (kind == "hop")
    {
        read_hop(fields, load);
    }
    else if (kind == "rate")
    {
        read_rate(fields, load);
    }
    else if (kind == "customers")
    {
        read_customers(fields, load);
    }
    else if (kind == "slow")
    {
        read_slowdown(fields, load);
    }
    else if (!read_outcome(kind, fields, load))
    {
        read_topology_or_time(kind, fields, load);
    }
}

double rate_at(const trace_class& load, duration at)
{
    double sum = 0;
    for (const trace_rate& rate : load.rates)
    {
        if (rate.from <= at && at < rate.to)
        {
            sum += rate.per_second;
        }
    }
    return sum;
}

// Slot time of a request at `hop`: its own work, and the work and network delay
// of the deeper hops.
double
slot_seconds(const trace& load, const trace_class& work_class, std::size_t hop)
{
    duration time{0};
    for (std::size_t index = hop; index < work_class.hops.size(); ++index)
    {
        time += work_class.hops[index].work;
        time += index > hop ? load.data_center_delay : duration(0);
    }
    return std::chrono::duration<double>(time).count();
}

} // namespace

leaf::result<trace> load_trace(const std::filesystem::path& file)
{
    std::ifstream input(file);
    if (!input)
    {
        return leaf::new_error(bad_trace{0});
    }
    trace loaded;
    std::size_t number = 0;
    for (std::string line; std::getline(input, line);)
    {
        ++number;
        line = line.substr(0, line.find('#'));
        line.erase(line.find_last_not_of(" \t\r") + 1);
        if (line.empty())
        {
            continue;
        }
        row fields(line);
        const std::string kind = fields.text();
        read_row(kind, fields, loaded);
        if (!fields.good())
        {
            return leaf::new_error(bad_trace{number});
        }
    }
    return loaded;
}

double offered_load(const trace& load, duration at)
{
    return offered_load(load, at, 255);
}

double offered_load(const trace& load, duration at, std::uint8_t rank)
{
    std::vector<double> busy(load.services.size(), 0.0);
    for (const trace_class& work_class : load.classes)
    {
        if (work_class.rank > rank)
        {
            continue;
        }
        for (std::size_t hop = 0; hop < work_class.hops.size(); ++hop)
        {
            busy[work_class.hops[hop].service] +=
                rate_at(work_class, at) * slot_seconds(load, work_class, hop);
        }
    }
    double max_utilization = 0;
    for (std::size_t index = 0; index < busy.size(); ++index)
    {
        const trace_service& service = load.services[index];
        const double slots =
            static_cast<double>(service.upstreams * service.slots);
        max_utilization = std::max(max_utilization, busy[index] / slots);
    }
    return max_utilization;
}

void scale_load(trace& load, duration from, duration to, double factor)
{
    for (trace_class& work_class : load.classes)
    {
        std::vector<trace_rate> scaled;
        for (const trace_rate& rate : work_class.rates)
        {
            const duration inner_from = std::clamp(from, rate.from, rate.to);
            const duration inner_to = std::clamp(to, inner_from, rate.to);
            scaled.push_back({rate.from, inner_from, rate.per_second});
            scaled.push_back({inner_from, inner_to, rate.per_second * factor});
            scaled.push_back({inner_to, rate.to, rate.per_second});
        }
        std::erase_if(
            scaled,
            [](const trace_rate& rate)
            {
                return rate.from >= rate.to;
            });
        work_class.rates = scaled;
    }
}

} // namespace nutmegusher::bench
