#include "nutmegusher/base/events.hpp"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace nutmegusher
{

namespace
{

constexpr std::array descriptions{
    event_description{
        event::process_started, "process_started", severity::info},
    event_description{
        event::process_stopping, "process_stopping", severity::info},
    event_description{
        event::process_stopped, "process_stopped", severity::info},
    event_description{
        event::settings_refused, "settings_refused", severity::error},
    event_description{
        event::process_stop_step, "process_stop_step", severity::info},
    event_description{
        event::configuration_in_force,
        "configuration_in_force",
        severity::info},
    event_description{
        event::control_unreachable, "control_unreachable", severity::warning},
    event_description{
        event::control_reached, "control_reached", severity::info},
    event_description{
        event::control_leader_elected,
        "control_leader_elected",
        severity::info},
    event_description{
        event::control_stepped_down, "control_stepped_down", severity::warning},
    event_description{
        event::control_change_accepted,
        "control_change_accepted",
        severity::info},
    event_description{
        event::control_change_refused,
        "control_change_refused",
        severity::warning},
    event_description{
        event::control_log_tail_cut, "control_log_tail_cut", severity::warning},
    event_description{
        event::control_storage_failed,
        "control_storage_failed",
        severity::error},
    event_description{
        event::control_snapshot_taken,
        "control_snapshot_taken",
        severity::info},
    event_description{
        event::control_membership_changed,
        "control_membership_changed",
        severity::info},
    event_description{
        event::control_host_not_admitted,
        "control_host_not_admitted",
        severity::warning},
    event_description{
        event::control_member_lags, "control_member_lags", severity::warning},
    event_description{
        event::control_member_caught_up,
        "control_member_caught_up",
        severity::info},
    event_description{
        event::control_host_behind, "control_host_behind", severity::warning},
    event_description{
        event::control_host_current, "control_host_current", severity::info},
    event_description{event::control_moved, "control_moved", severity::info},
    event_description{
        event::configuration_may_be_old,
        "configuration_may_be_old",
        severity::warning},
    event_description{
        event::configuration_current, "configuration_current", severity::info},
    event_description{
        event::quarantine_not_kept, "quarantine_not_kept", severity::warning},
    event_description{event::quotas_owned, "quotas_owned", severity::info},
    event_description{event::team_cut, "team_cut", severity::info},
    event_description{
        event::upstream_announced, "upstream_announced", severity::info},
    event_description{
        event::upstream_leaving, "upstream_leaving", severity::info},
    event_description{event::upstream_lost, "upstream_lost", severity::warning},
    event_description{
        event::upstream_pressed, "upstream_pressed", severity::info},
    event_description{
        event::run_was_overtaken, "run_was_overtaken", severity::warning},
    event_description{
        event::upstream_ended, "upstream_ended", severity::warning},
    event_description{
        event::upstream_limited, "upstream_limited", severity::info},
    event_description{
        event::repeats_exhausted, "repeats_exhausted", severity::warning},
    event_description{event::upstream_pace, "upstream_pace", severity::info},
    event_description{
        event::report_rejected, "report_rejected", severity::warning},
    event_description{
        event::withdrawal_stored, "withdrawal_stored", severity::info},
    event_description{
        event::withdrawal_not_stored,
        "withdrawal_not_stored",
        severity::warning},
    event_description{
        event::request_refused, "request_refused", severity::info},
    event_description{event::answer_broken, "answer_broken", severity::warning},
    event_description{
        event::request_unknown, "request_unknown", severity::warning},
    event_description{
        event::request_unanswered, "request_unanswered", severity::error},
    event_description{
        event::request_quarantined, "request_quarantined", severity::error},
    event_description{
        event::request_cancelled, "request_cancelled", severity::info},
    event_description{event::memory_short, "memory_short", severity::warning},
    event_description{
        event::request_given_up, "request_given_up", severity::warning},
    event_description{event::claim_refused, "claim_refused", severity::info},
    event_description{
        event::claim_unreachable, "claim_unreachable", severity::warning},
    event_description{
        event::outcome_not_recorded, "outcome_not_recorded", severity::warning},
    event_description{
        event::connection_silent, "connection_silent", severity::warning},
    event_description{
        event::connection_failed, "connection_failed", severity::info},
};

std::string_view severity_name(severity level)
{
    switch (level)
    {
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "error";
}

void append_escaped(std::string& out, std::string_view text)
{
    static constexpr std::string_view hex = "0123456789abcdef";
    for (const char c : text)
    {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\')
        {
            out += '\\';
            out += c;
        }
        else if (byte < 0x20)
        {
            out += "\\u00";
            out += hex[byte >> 4U];
            out += hex[byte & 0xFU];
        }
        else
        {
            out += c;
        }
    }
}

void append_value(std::string& out, const event_field& field)
{
    std::visit(
        [&out](const auto& value)
        {
            using type = std::decay_t<decltype(value)>;
            if constexpr (std::is_same_v<type, std::string_view>)
            {
                out += '"';
                append_escaped(out, value);
                out += '"';
            }
            else if constexpr (std::is_same_v<type, bool>)
            {
                out += value ? "true" : "false";
            }
            else
            {
                out += std::to_string(value);
            }
        },
        field.value);
}

// Limits the lines of each event per one-second window.
class rate_limiter
{
public:
    // Whether the line may be written. If so, sets `suppressed` to the number
    // of lines of this event that were suppressed since the last written one.
    bool admit(event id, std::uint32_t limit, std::uint64_t& suppressed)
    {
        using clock = std::chrono::steady_clock;
        const std::scoped_lock lock(mutex_);
        auto& window = windows_[id];
        const auto now = clock::now();
        if (now - window.start >= std::chrono::seconds(1))
        {
            window.start = now;
            window.written = 0;
        }
        if (window.written >= limit)
        {
            ++window.suppressed;
            return false;
        }
        ++window.written;
        suppressed = std::exchange(window.suppressed, 0);
        return true;
    }

private:
    struct window
    {
        std::chrono::steady_clock::time_point start;
        std::uint32_t written = 0;
        std::uint64_t suppressed = 0;
    };

    std::mutex mutex_;
    std::map<event, window> windows_;
};

struct logging_state
{
    bool started = false;
    log_format format = log_format::json;
    std::string process;
    std::uint32_t rate_limit = default_event_rate_limit;
    log4cxx::LoggerPtr logger;
    rate_limiter limiter;
};

logging_state& state()
{
    static logging_state instance;
    return instance;
}

log4cxx::LevelPtr to_level(severity level)
{
    switch (level)
    {
    case severity::info:
        return log4cxx::Level::getInfo();
    case severity::warning:
        return log4cxx::Level::getWarn();
    case severity::error:
        break;
    }
    return log4cxx::Level::getError();
}

} // namespace

std::span<const event_description> all_events()
{
    return descriptions;
}

const event_description& describe(event id)
{
    const auto* const found = std::find_if(
        descriptions.begin(),
        descriptions.end(),
        [id](const event_description& entry)
        {
            return entry.id == id;
        });
    return *found;
}

std::string
format_event(log_format format, event id, std::span<const event_field> fields)
{
    const auto& description = describe(id);
    const bool json = format == log_format::json;
    std::string line = json ? "{\"event\":" : "event=";
    line += std::to_string(static_cast<unsigned>(id));
    line += json ? ",\"name\":\"" : " name=";
    line += description.name;
    line += json ? "\",\"level\":\"" : " level=";
    line += severity_name(description.level);
    line += json ? "\"" : "";
    for (const auto& field : fields)
    {
        line += json ? ",\"" : " ";
        line += field.key;
        line += json ? "\":" : "=";
        append_value(line, field);
    }
    line += json ? "}" : "";
    return line;
}

void start_logging(
    log_format format, std::string_view process, std::uint32_t rate_limit)
{
    auto& logging = state();
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
        LOG4CXX_STR("%d{ISO8601} %m%n"));
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemOut());
    log4cxx::BasicConfigurator::configure(appender);
    logging.logger = log4cxx::Logger::getLogger("nutmegusher");
    logging.format = format;
    logging.process = process;
    logging.rate_limit = rate_limit;
    logging.started = true;
}

void log_event(event id, std::initializer_list<event_field> fields)
{
    auto& logging = state();
    if (!logging.started)
    {
        return;
    }
    std::uint64_t suppressed = 0;
    if (!logging.limiter.admit(id, logging.rate_limit, suppressed))
    {
        return;
    }
    std::vector<event_field> all_fields(fields);
    all_fields.push_back({"process", std::string_view(logging.process)});
    if (suppressed > 0)
    {
        all_fields.push_back({"left_out", suppressed});
    }
    const auto line = format_event(logging.format, id, all_fields);
    logging.logger->log(to_level(describe(id).level), line);
}

} // namespace nutmegusher
