#include "services/telemetry/telemetry.hpp"

#include "services/messages/names.hpp"

#include <utility>

namespace bramleyarch::services
{

void connect(telemetry& t, kernel::registry const& names)
{
    t.timeline = names.find<timeline_message>(to_name(service_name::timeline));
    t.metrics = names.find<metrics_message>(to_name(service_name::metrics));
    t.log = names.find<log_message>(to_name(service_name::log));
}

void count(telemetry& t, counter which, std::uint64_t by)
{
    add(t.counted, which, by);
}

void record(telemetry& t, event what)
{
    kernel::send(t.timeline, record_event{std::move(what)});
}

void sample(telemetry& t, latency_kind kind, duration value)
{
    for (auto& known : t.samples)
    {
        if (known.kind != kind)
            continue;
        known.samples.push_back(value);
        return;
    }
    t.samples.push_back({.kind = kind, .samples = {value}});
}

std::string field_text(std::string_view text)
{
    constexpr std::size_t most = 64;
    std::string shown{text.substr(0, most)};
    for (auto& c : shown)
    {
        bool const plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                           (c >= '0' && c <= '9') || c == '-' || c == '_' ||
                           c == '.';
        c = plain ? c : '?';
    }
    return shown.empty() ? "-" : shown;
}

void log(telemetry& t, log_severity severity, std::string event,
         std::string fields)
{
    kernel::send(t.log, log_line{.severity = severity,
                                 .event = std::move(event),
                                 .fields = std::move(fields)});
}

void flush(telemetry& t)
{
    kernel::send(t.metrics, counters_added{t.counted});
    t.counted = {};
    for (auto& observed : t.samples)
        kernel::send(t.metrics, std::move(observed));
    t.samples.clear();
}

} // namespace bramleyarch::services
