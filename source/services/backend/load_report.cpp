#include "services/backend/load_report.hpp"

#include <limits>
#include <nlohmann/json.hpp>

namespace bramleyarch::services
{

namespace
{

using nlohmann::json;

/// Reads an unsigned number into `value`, which is unchanged if the member is
/// absent. Returns false if the member is not an unsigned number or does not
/// fit into `Number`.
template <class Number>
bool read_number(json const& object, char const* name, Number& value)
{
    auto const found = object.find(name);
    if (found == object.end())
        return true;
    if (!found->is_number_unsigned())
        return false;
    auto const number = found->template get<std::uint64_t>();
    if (number > std::numeric_limits<Number>::max())
        return false;
    value = static_cast<Number>(number);
    return true;
}

/// Reads a boolean into `value`, which is unchanged if the member is absent.
/// Returns false if the member is not a boolean.
bool read_bool(json const& object, char const* name, bool& value)
{
    auto const found = object.find(name);
    if (found == object.end())
        return true;
    if (!found->is_boolean())
        return false;
    value = found->get<bool>();
    return true;
}

} // namespace

result<server_load_report> parse_load_report(std::string_view text)
{
    auto const parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object())
        return fail(error_kind::server_protocol,
                    "load report is not a JSON object");
    server_load_report report;
    bool const valid =
        read_number(parsed, "incarnation", report.server_incarnation) &&
        read_number(parsed, "running", report.running) &&
        read_number(parsed, "waiting", report.waiting) &&
        read_bool(parsed, "cold", report.cold) &&
        read_number(parsed, "age_ms", report.age_ms);
    if (!valid)
        return fail(
            error_kind::server_protocol,
            "load report has a member of the wrong type or out of range");
    return report;
}

} // namespace bramleyarch::services
