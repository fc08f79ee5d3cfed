#include "config/diff.hpp"

#include "config/document_json.hpp"
#include "config/schema.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <unordered_map>

namespace bramleyarch::config
{

namespace
{

using nlohmann::json;
using change_list = std::vector<change>;

void diff_object(json const& before, json const& after, object_kind kind,
                 std::string const& subject, change_list& changes);

std::unordered_map<std::string, json const*> index_by_id(json const& items)
{
    std::unordered_map<std::string, json const*> index;
    for (auto const& item : items)
        index.emplace(item["id"].get<std::string>(), &item);
    return index;
}

/// Compares lists of objects that have ids.
void diff_items(json const& before, json const& after, object_kind kind,
                std::string const& owner, change_list& changes)
{
    auto const old_items = index_by_id(before);
    auto const new_items = index_by_id(after);
    auto const subject_of = [&](std::string const& id)
    { return fmt::format("{}{} {}", owner, to_name(kind), id); };
    for (auto const& item : before)
    {
        auto const id = item["id"].get<std::string>();
        if (!new_items.contains(id))
            changes.push_back({.kind = change_kind::removed,
                               .subject = subject_of(id),
                               .before = item.dump()});
    }
    for (auto const& item : after)
    {
        auto const id = item["id"].get<std::string>();
        auto const found = old_items.find(id);
        if (found == old_items.end())
            changes.push_back({.kind = change_kind::added,
                               .subject = subject_of(id),
                               .after = item.dump()});
        else
            diff_object(*found->second, item, kind, subject_of(id), changes);
    }
}

bool has_ids(field_row const& row)
{
    return row.list && row.type == value_type::object &&
           find_field(row.child, "id") != nullptr;
}

bool is_ignored(field_row const& row)
{
    return row.owner == object_kind::document &&
           (row.name == "version" || row.name == "submission_id");
}

void diff_object(json const& before, json const& after, object_kind kind,
                 std::string const& subject, change_list& changes)
{
    auto const prefix = subject.empty() ? "" : subject + ' ';
    for (auto const& row : document_fields())
    {
        if (row.owner != kind || is_ignored(row))
            continue;
        std::string const name{row.name};
        auto const& old_value = before[name];
        auto const& new_value = after[name];
        if (old_value == new_value)
            continue;
        if (has_ids(row))
            diff_items(old_value, new_value, row.child, prefix, changes);
        else if (row.type == value_type::object && !row.list)
            diff_object(old_value, new_value, row.child, prefix + name,
                        changes);
        else
            changes.push_back({.kind = change_kind::changed,
                               .subject = subject,
                               .field = name,
                               .before = old_value.dump(),
                               .after = new_value.dump()});
    }
}

} // namespace

std::vector<change> diff(document const& before, document const& after)
{
    change_list changes;
    diff_object(json::parse(to_canonical_json(before)),
                json::parse(to_canonical_json(after)), object_kind::document,
                "", changes);
    return changes;
}

std::string describe(change const& c)
{
    switch (c.kind)
    {
    case change_kind::added:
        return fmt::format("added {}: {}", c.subject, c.after);
    case change_kind::removed:
        return fmt::format("removed {}: {}", c.subject, c.before);
    case change_kind::changed:
        return fmt::format("changed {} {}: {} -> {}", c.subject, c.field,
                           c.before, c.after);
    }
    return {};
}

} // namespace bramleyarch::config
