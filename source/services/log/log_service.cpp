#include "services/log/log_service.hpp"

#include "services/messages/names.hpp"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <fmt/format.h>
#include <iterator>
#include <unistd.h>
#include <utility>

namespace bramleyarch::services
{

namespace
{

using context = kernel::context<log_message>;

/// Lines of this span are written together, which saves system calls.
constexpr duration flush_interval = std::chrono::milliseconds{100};

void write_waiting(log_state& state)
{
    std::size_t done = 0;
    while (done < state.waiting.size())
    {
        auto const wrote =
            ::write(state.options.descriptor, state.waiting.data() + done,
                    state.waiting.size() - done);
        if (wrote < 0 && errno == EINTR)
            continue;
        if (wrote <= 0)
            break; // The reader is behind: what waits stays within its bound.
        done += static_cast<std::size_t>(wrote);
    }
    state.waiting.erase(0, done);
}

void receive_one(log_state& state, context& ctx, log_line const& line)
{
    if (line.severity > state.options.least)
        return;
    if (state.waiting.size() + line.fields.size() >
        state.options.max_waiting_bytes)
    {
        ++state.dropped;
        return;
    }
    auto const begin = state.waiting.size();
    auto const at = wall_now(ctx).time_since_epoch();
    fmt::format_to(std::back_inserter(state.waiting),
                   "time_ms={} router={} severity={} event={}", to_ms(at),
                   state.options.router.value, to_name(line.severity),
                   line.event);
    if (state.dropped > 0)
        fmt::format_to(std::back_inserter(state.waiting), " dropped_before={}",
                       std::exchange(state.dropped, 0));
    if (!line.fields.empty())
        state.waiting.append(" ").append(line.fields);
    // What others wrote, such as a key of the store, begins no line of its own.
    std::replace_if(
        state.waiting.begin() + static_cast<std::ptrdiff_t>(begin),
        state.waiting.end(),
        [](unsigned char c) { return c < ' ' || c == 0x7f; }, '?');
    state.waiting.push_back('\n');
    if (std::exchange(state.flush_due, true))
        return;
    schedule(ctx, flush_interval, log_flush{});
}

void receive_one(log_state& state, context& ctx, log_flush)
{
    write_waiting(state);
    state.flush_due = !state.waiting.empty();
    if (state.flush_due)
        schedule(ctx, flush_interval, log_flush{});
}

void start(log_state& state, context&)
{
    int const flags = fcntl(state.options.descriptor, F_GETFL);
    if (flags >= 0)
        fcntl(state.options.descriptor, F_SETFL, flags | O_NONBLOCK);
}

void receive(log_state& state, context& ctx, log_message message)
{
    std::visit([&](auto const& m) { receive_one(state, ctx, m); }, message);
}

void stop(log_state& state, context&)
{
    write_waiting(state);
}

} // namespace

log_service make_log_service(log_options options)
{
    return {.name = std::string{to_name(service_name::log)},
            .state = {.options = std::move(options)},
            .start = start,
            .receive = receive,
            .stop = stop};
}

} // namespace bramleyarch::services
