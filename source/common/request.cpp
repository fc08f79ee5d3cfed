#include "common/request.hpp"

namespace bramleyarch
{

std::string_view find_header(std::vector<header_field> const& headers,
                             std::string_view name)
{
    for (auto const& field : headers)
    {
        if (field.name == name)
            return field.value;
    }
    return {};
}

} // namespace bramleyarch
