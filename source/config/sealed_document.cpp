#include "config/sealed_document.hpp"

#include "common/digest.hpp"

namespace bramleyarch::config
{

std::string seal(std::string_view json)
{
    return sha256_hex(json) + '\n' + std::string{json};
}

std::optional<std::string> unseal(std::string_view sealed)
{
    auto const end = sealed.find('\n');
    if (end == std::string_view::npos)
        return std::nullopt;
    auto const json = sealed.substr(end + 1);
    if (sha256_hex(json) != sealed.substr(0, end))
        return std::nullopt;
    return std::string{json};
}

} // namespace bramleyarch::config
