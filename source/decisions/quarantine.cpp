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
                         { return a.second.expires < b.second.expires; });
    list.bodies.erase(oldest);
}

suspicion* find_live(quarantine_list& list, std::uint64_t body, time_point at)
{
    auto const found = list.bodies.find(body);
    if (found == list.bodies.end() || found->second.expires <= at)
        return nullptr;
    return &found->second;
}

void insert(quarantine_list& list, std::uint64_t body, suspicion entry,
            time_point at)
{
    if (!list.bodies.contains(body))
        make_room(list, at);
    list.bodies.insert_or_assign(body, std::move(entry));
}

} // namespace

body_status status_of(quarantine_list const& list, std::uint64_t body,
                      time_point at)
{
    auto const found = list.bodies.find(body);
    if (found == list.bodies.end() || found->second.expires <= at)
        return body_status::clear;
    return found->second.standing;
}

body_status record_suspect(quarantine_list& list, std::uint64_t body,
                           server_id const& server, time_point at)
{
    auto* known = find_live(list, body, at);
    if (!known)
    {
        insert(list, body,
               {.standing = body_status::suspect,
                .first_server = server,
                .expires = at + list.options.suspect_ttl},
               at);
        return body_status::suspect;
    }
    if (known->standing == body_status::suspect &&
        known->first_server != server)
    {
        known->standing = body_status::quarantined;
        known->expires = at + list.options.quarantine_ttl;
    }
    return known->standing;
}

bool clear_suspected_body(quarantine_list& list, std::uint64_t body)
{
    auto const found = list.bodies.find(body);
    if (found == list.bodies.end() ||
        found->second.standing == body_status::quarantined)
    {
        return false;
    }
    list.bodies.erase(found);
    return true;
}

body_status merge_remote_status(quarantine_list& list, std::uint64_t body,
                                body_status standing, server_id const& server,
                                duration ttl, time_point at)
{
    if (standing == body_status::clear || ttl <= duration::zero())
        return status_of(list, body, at);
    if (standing == body_status::suspect)
    {
        auto* known = find_live(list, body, at);
        if (known)
            return record_suspect(list, body, server, at);
    }
    auto const most = standing == body_status::quarantined
                          ? list.options.quarantine_ttl
                          : list.options.suspect_ttl;
    insert(list, body,
           {.standing = standing,
            .first_server = server,
            .expires = at + std::min(ttl, most)},
           at);
    return standing;
}

void remove_expired_bodies(quarantine_list& list, time_point at)
{
    std::erase_if(list.bodies, [at](auto const& entry)
                  { return entry.second.expires <= at; });
}

std::size_t count_quarantined(quarantine_list const& list, time_point at)
{
    return static_cast<std::size_t>(std::count_if(
        list.bodies.begin(), list.bodies.end(),
        [at](auto const& entry)
        {
            return entry.second.standing == body_status::quarantined &&
                   entry.second.expires > at;
        }));
}

} // namespace bramleyarch::decisions
