#include "http/server_memory.hpp"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace bramleyarch::http
{

namespace
{

using decisions::memory_level;

/// Objects, handlers and table entries of a connection, in this server and in
/// its loop.
constexpr std::size_t connection_bytes = 4U << 10;

/// Head and rest of the last read, beyond a body.
constexpr std::size_t beyond_body_bytes = 64U << 10;

/// Bodies grow by a fifth: by doubling, many that grow at a time would take far
/// more than what is left when they stop being read.
constexpr std::size_t growth_part = 5;

/// Time between two looks at the connections while memory is short.
constexpr duration relief_interval = std::chrono::milliseconds{100};

bool is_idle(caller_connection const& c)
{
    return c.exchange == 0 && !c.refused && c.parser.state == parse_state::head;
}

std::size_t held_by(caller_connection const& c)
{
    std::size_t held = connection_bytes + c.body.capacity() +
                       c.pending.capacity() + c.memory.request +
                       net::queue_capacity(*c.socket) + c.memory.head;
    // Strings may have twice the bytes that they hold.
    if (c.parser.state == parse_state::head)
        held += 2 * c.parser.head_bytes +
                c.parser.head.headers.capacity() * sizeof(header_field);
    // The request is queued once more for a server that has not answered yet.
    if (c.exchange != 0 && !c.start)
        held += c.memory.request;
    return held;
}

std::size_t held_by_address(server const& s, caller_connection const& c)
{
    auto const found = s.memory.by_address.find(c.memory.address);
    return found == s.memory.by_address.end() ? 0 : found->second;
}

memory_level level(server const& s, caller_connection const& c)
{
    return decisions::level_of(s.options.memory, s.memory.held,
                               held_by_address(s, c));
}

void set_held(server& s, caller_connection& c, std::size_t held)
{
    auto const before = std::exchange(c.memory.held, held);
    s.memory.held += held - before;
    auto const entry = s.memory.by_address.try_emplace(c.memory.address).first;
    entry->second += held - before;
    if (entry->second == 0)
        s.memory.by_address.erase(entry);
}

void report_relief(server& s, caller_connection const& c, relief what)
{
    report(s, relief_taken{.what = what,
                           .address = c.memory.address,
                           .by_caller = c.memory.held,
                           .by_address = held_by_address(s, c),
                           .held = s.memory.held,
                           .stalled = net::clock_now() - c.memory.moved});
}

/// Returns how much more an unfinished request may need until its server
/// answers: its body is queued for the server as well.
std::size_t need_of(server const& s, caller_connection const& c)
{
    auto const limit = 2 * s.options.max_body_bytes + beyond_body_bytes;
    return limit - std::min(limit, c.memory.held);
}

/// Returns whether nobody has to be closed or paused.
bool is_calm(server const& s)
{
    return s.memory.paused.empty() &&
           decisions::level_of(s.options.memory, s.memory.held, 0) ==
               memory_level::calm;
}

void end_stalled(server& s, caller_connection& c)
{
    bool const is_answer = c.exchange != 0;
    report_relief(s, c,
                  is_answer ? relief::answer_stalled : relief::body_stalled);
    if (is_answer)
        abandon(s, c);
    else
        refuse_request(
            s, c,
            {error_kind::request_timeout, "no progress while memory is short"});
}

void close_stalled(server& s)
{
    auto const at = net::clock_now();
    std::vector<decisions::waiting_caller> waiting;
    for (auto const& [serial, c] : s.connections)
    {
        bool const sends = is_unfinished(*c) && !c->memory.paused;
        bool const reads = c->exchange != 0 && net::queued(*c->socket) > 0;
        if (sends || reads)
            waiting.push_back({.id = serial,
                               .held = c->memory.held,
                               .stalled = at - c->memory.moved});
    }
    for (auto const serial : decisions::choose_stalled(
             std::move(waiting), s.memory.held, s.options.stalled_after))
    {
        if (is_calm(s))
            return;
        end_stalled(s, *s.connections.at(serial));
    }
}

void resume_paused(server& s)
{
    std::erase_if(s.memory.paused,
                  [&](std::uint64_t serial)
                  {
                      auto const found = s.connections.find(serial);
                      return found == s.connections.end() ||
                             !found->second->memory.paused;
                  });
    std::size_t reserved = 0;
    for (auto const& [serial, c] : s.connections)
        reserved += c->memory.preferred ? need_of(s, *c) : 0;
    std::vector<std::size_t> needs;
    for (auto const serial : s.memory.paused)
        needs.push_back(need_of(s, *s.connections.at(serial)));
    auto const count = decisions::count_resumable(
        needs, decisions::room_of(s.options.memory, s.memory.held), reserved,
        s.exchanges.empty());
    for (std::size_t i = 0; i < count; ++i)
    {
        auto& c = *s.connections.at(s.memory.paused.front());
        s.memory.paused.pop_front();
        c.memory.paused = false;
        c.memory.preferred = true;
        note_wait(c);
        net::read(*c.socket, true);
    }
}

void relieve(server& s);

void watch_memory(server& s)
{
    if (s.memory.timer != 0)
        return;
    s.memory.timer = net::call_after(*s.loop, relief_interval,
                                     [&s]
                                     {
                                         s.memory.timer = 0;
                                         relieve(s);
                                     });
    // At once, as each would hold one more read if it were paused by that.
    for (auto const& [serial, c] : s.connections)
        pause_if_short(s, *c);
}

void relieve(server& s)
{
    close_stalled(s);
    resume_paused(s);
    if (!is_calm(s))
        watch_memory(s);
}

} // namespace

void update_account(server& s, caller_connection& c)
{
    set_held(s, c, held_by(c));
    if (level(s, c) != memory_level::calm)
        watch_memory(s);
}

void release_account(server& s, caller_connection& c)
{
    set_held(s, c, 0);
}

void count_head(caller_connection& c, message_head const& head)
{
    c.memory.head =
        head.target.capacity() + head.headers.capacity() * sizeof(header_field);
    for (auto const& field : head.headers)
        c.memory.head += field.name.capacity() + field.value.capacity();
}

void append_body(server& s, caller_connection& c, std::string_view bytes)
{
    auto const size = c.body.size() + bytes.size();
    auto const grown = c.body.capacity() + c.body.capacity() / growth_part;
    // Not beyond what the body may have.
    if (size > c.body.capacity())
        c.body.reserve(std::min<std::uint64_t>(
            std::max(size, grown),
            c.parser.head.length.value_or(s.options.max_body_bytes)));
    c.body.append(bytes);
}

void note_progress(server const& s, caller_connection& c, std::size_t bytes)
{
    c.memory.moved_by += bytes;
    if (c.memory.moved_by >= s.options.min_progress_bytes)
        note_wait(c);
}

void note_wait(caller_connection& c)
{
    c.memory.moved = net::clock_now();
    c.memory.moved_by = 0;
}

bool is_short(server const& s, caller_connection const& c)
{
    return level(s, c) != memory_level::calm;
}

bool is_exhausted(server const& s, caller_connection const& c)
{
    return level(s, c) == memory_level::exhausted;
}

void refuse_for_memory(server& s, caller_connection& c)
{
    report_relief(s, c, relief::request_refused);
    refuse_request(s, c, {error_kind::queue_full, "memory is short"});
}

void pause_if_short(server& s, caller_connection& c)
{
    if (!is_unfinished(c) || c.memory.preferred || c.memory.paused)
        return;
    auto const now = level(s, c);
    bool const is_large =
        c.memory.held >
        decisions::small_request_bytes(s.options.memory, s.connections.size());
    if (now == memory_level::calm ||
        (now == memory_level::short_of_memory && !is_large))
        return;
    c.memory.paused = true;
    s.memory.paused.push_back(c.serial);
    net::read(*c.socket, false);
    report_relief(s, c, relief::reading_paused);
    watch_memory(s);
}

bool close_idlest(server& s)
{
    caller_connection* idlest = nullptr;
    for (auto& [serial, c] : s.connections)
    {
        if (is_idle(*c) && (!idlest || c->memory.moved < idlest->memory.moved))
            idlest = c.get();
    }
    if (!idlest ||
        net::clock_now() - idlest->memory.moved < s.options.stalled_after)
        return false;
    report_relief(s, *idlest, relief::idle_closed);
    abandon(s, *idlest);
    return true;
}

} // namespace bramleyarch::http
