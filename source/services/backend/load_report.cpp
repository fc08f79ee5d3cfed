#include "services/backend/load_report.hpp"

#include <limits>
#include <nlohmann/json.hpp>

namespace bramleyarch::services
{

namespace
{

using nlohmann::json;

/// Reads an unsigned member that may be absent; false when it is not one.
template <class Number>
bool read_number(json const& from, char const* name, Number& into)
{
    auto const found = from.find(name);
    if (found == from.end())
        return true;
    if (!found->is_number_unsigned())
        return false;
    auto const value = found->template get<std::uint64_t>();
    if (value > std::numeric_limits<Number>::max())
        return false;
    into = static_cast<Number>(value);
    return true;
}

bool read_flag(json const& from, char const* name, bool& into)
{
    auto const found = from.find(name);
    if (found == from.end())
        return true;
    if (!found->is_boolean())
        return false;
    into = found->get<bool>();
    return true;
}

} // namespace

result<server_load_report> parse_load_report(std::string_view text)
{
    auto const parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object())
        return fail(error_kind::server_protocol, "load report is not JSON");
    server_load_report report;
    bool const valid =
        read_number(parsed, "incarnation", report.server_incarnation) &&
        read_number(parsed, "running", report.running) &&
        read_number(parsed, "waiting", report.waiting) &&
        read_flag(parsed, "cold", report.cold) &&
        read_number(parsed, "age_ms", report.age_ms);
    if (!valid)
        return fail(error_kind::server_protocol,
                    "load report has a member of another type");
    return report;
}

} // namespace bramleyarch::services
