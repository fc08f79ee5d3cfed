#include "services/claims/record_json.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bramleyarch::services
{

using decisions::claim_phase;
using decisions::claim_record;

std::string record_to_json(claim_record const& record)
{
    return fmt::format(
        R"({{"phase":"{}","entry":{},"sequence":{},"attempt":{},"serial":{},)"
        R"("recorded":"{}"}})",
        to_name(record.phase), record.holder.request.entry,
        record.holder.request.sequence, record.holder.number, record.serial,
        to_name(record.recorded));
}

std::optional<claim_record> record_from_json(std::string_view text)
{
    auto const object = nlohmann::json::parse(text, nullptr, false);
    if (!object.is_object())
        return std::nullopt;
    try
    {
        auto const phase =
            from_name<claim_phase>(object.at("phase").get<std::string>());
        auto const recorded =
            from_name<outcome>(object.at("recorded").get<std::string>());
        if (!phase || !recorded)
            return std::nullopt;
        claim_record record{.phase = *phase, .recorded = *recorded};
        object.at("entry").get_to(record.holder.request.entry);
        object.at("sequence").get_to(record.holder.request.sequence);
        object.at("attempt").get_to(record.holder.number);
        object.at("serial").get_to(record.serial);
        return record;
    }
    catch (nlohmann::json::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace bramleyarch::services
