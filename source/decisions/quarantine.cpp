#include "decisions/quarantine.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

namespace
{

void make_room(quarantine_list& list, time_point at)
{
    if (list.bodies.size() < list.options.max_bodies)
        return;
    remove_expired_bodies(list, at);
    if (list.bodies.size() < list.options.max_bodies)
        return;
    auto const oldest =
        std::min_element(list.bodies.begin(), list.bodies.end(),
                         [](auto const& a, auto const& b)
                         { return a.second.expires_at < b.second.expires_at; });
    list.bodies.erase(oldest);
}

/// Returns the entry of a body, or null if there is none or it has expired.
body_record* find_unexpired(quarantine_list& list, std::uint64_t body,
                            time_point at)
{
    auto const found = list.bodies.find(body);
    if (found == list.bodies.end() || found->second.expires_at <= at)
        return nullptr;
    return &found->second;
}

void insert(quarantine_list& list, std::uint64_t body, body_record record,
            time_point at)
{
    if (!list.bodies.contains(body))
        make_room(list, at);
    list.bodies.insert_or_assign(body, std::move(record));
}

} // namespace

body_status status_of(quarantine_list const& list, std::uint64_t body,
                      time_point at)
{
    auto const found = list.bodies.find(body);
    if (found == list.bodies.end() || found->second.expires_at <= at)
        return body_status::clear;
    return found->second.status;
}

body_status record_suspect(quarantine_list& list, std::uint64_t body,
                           server_id const& server, time_point at)
{
    auto* record = find_unexpired(list, body, at);
    if (!record)
    {
        insert(list, body,
               {.status = body_status::suspect,
                .first_server = server,
                .expires_at = at + list.options.suspect_ttl},
               at);
        return body_status::suspect;
    }
    if (record->status == body_status::suspect &&
        record->first_server != server)
    {
        record->status = body_status::quarantined;
        record->expires_at = at + list.options.quarantine_ttl;
    }
    return record->status;
}

bool clear_suspected_body(quarantine_list& list, std::uint64_t body)
{
    auto const found = list.bodies.find(body);
    if (found == list.bodies.end() ||
        found->second.status == body_status::quarantined)
    {
        return false;
    }
    list.bodies.erase(found);
    return true;
}

body_status merge_remote_status(quarantine_list& list, std::uint64_t body,
                                body_status status, server_id const& server,
                                duration ttl, time_point at)
{
    if (status == body_status::clear || ttl <= duration::zero())
        return status_of(list, body, at);
    if (status == body_status::suspect)
    {
        auto* record = find_unexpired(list, body, at);
        if (record)
            return record_suspect(list, body, server, at);
    }
    auto const max_ttl = status == body_status::quarantined
                             ? list.options.quarantine_ttl
                             : list.options.suspect_ttl;
    insert(list, body,
           {.status = status,
            .first_server = server,
            .expires_at = at + std::min(ttl, max_ttl)},
           at);
    return status;
}

void remove_expired_bodies(quarantine_list& list, time_point at)
{
    std::erase_if(list.bodies, [at](auto const& entry)
                  { return entry.second.expires_at <= at; });
}

std::size_t count_quarantined(quarantine_list const& list, time_point at)
{
    return static_cast<std::size_t>(std::count_if(
        list.bodies.begin(), list.bodies.end(),
        [at](auto const& entry)
        {
            return entry.second.status == body_status::quarantined &&
                   entry.second.expires_at > at;
        }));
}

} // namespace bramleyarch::decisions
