#include "kernel/registry.hpp"

namespace bramleyarch::kernel
{

void registry::insert(std::string_view name, std::any entry)
{
    std::lock_guard const lock{mutex_};
    auto const added = entries_.emplace(std::string{name}, std::move(entry));
    if (!added.second)
        throw std::logic_error{"service name taken: " + std::string{name}};
}

std::any registry::lookup(std::string_view name) const
{
    std::lock_guard const lock{mutex_};
    auto const found = entries_.find(name);
    return found == entries_.end() ? std::any{} : found->second;
}

} // namespace bramleyarch::kernel
