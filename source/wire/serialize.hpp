/// How the messages of the fleet link are laid out in an archive.
#pragma once

#include "common/request.hpp"
#include "services/messages/owner.hpp"
#include "wire/archive.hpp"
#include "wire/frames.hpp"

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace bramleyarch::wire
{

/// Longest time that a frame may state.
constexpr duration max_stated_time = std::chrono::hours{24};

/// A span of time in microseconds, from zero to `max_stated_time`.
struct span
{
    duration& value;

    template <class Archive>
    void save(Archive& archive) const
    {
        auto const bounded =
            std::clamp(value, duration::zero(), max_stated_time);
        save_compact(archive,
                     static_cast<std::uint64_t>(bounded.count() / 1000));
    }

    template <class Archive>
    void load(Archive& archive)
    {
        auto const limit =
            static_cast<std::uint64_t>(max_stated_time.count() / 1000);
        value = std::chrono::microseconds{load_compact(archive, limit)};
    }
};

/// A string behind a pointer; no pointer is not the same as an empty string.
struct shared_text
{
    std::shared_ptr<std::string const>& text;

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(text != nullptr);
        if (text)
            archive(*text);
    }

    template <class Archive>
    void load(Archive& archive)
    {
        bool present = false;
        archive(present);
        text = nullptr;
        if (!present)
            return;
        auto loaded = std::make_shared<std::string>();
        archive(*loaded);
        text = std::move(loaded);
    }
};

/// A value that may be absent.
template <class Value>
struct optional_value
{
    std::optional<Value>& value;

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(value.has_value());
        if (value)
            archive(*value);
    }

    template <class Archive>
    void load(Archive& archive)
    {
        bool present = false;
        archive(present);
        value.reset();
        if (present)
            archive(value.emplace());
    }
};

template <class Value>
optional_value(std::optional<Value>&) -> optional_value<Value>;

template <class Archive>
void serialize(Archive& archive, hello& h)
{
    archive(h.from, h.to, h.started);
}

template <class Archive>
void serialize(Archive& archive, link_heartbeat& h)
{
    archive(h.number, h.reply);
}

template <class Archive>
void serialize(Archive& archive, config_fetch& f)
{
    archive(f.newer_than);
}

template <class Archive>
void serialize(Archive& archive, config_answer& a)
{
    archive(a.json);
}

} // namespace bramleyarch::wire

namespace bramleyarch
{

template <class Archive>
void serialize(Archive& archive, server_load& l)
{
    archive(l.server, wire::compact{l.in_flight}, wire::compact{l.queued},
            wire::compact{l.limit}, l.cold, l.usable);
}

/// All of a request but its deadline.
template <class Archive>
void serialize(Archive& archive, routed_request& r)
{
    archive(r.id, r.team, r.service, r.model, wire::named{r.kind},
            wire::named{r.priority}, r.chat, wire::optional_value{r.key});
    archive(r.method, r.target, r.headers, wire::shared_text{r.body});
    archive(wire::compact{r.work}, r.body_fingerprint, r.resume_offset);
}

template <class Archive>
void serialize(Archive& archive, error& e)
{
    archive(wire::named{e.kind}, e.detail);
}

template <class Archive>
void serialize(Archive& archive, answer_head& h)
{
    archive(h.attempt, h.status, h.headers, h.server);
}

template <class Archive>
void serialize(Archive& archive, answer_chunk& c)
{
    archive(c.attempt, c.sequence, c.bytes);
}

template <class Archive>
void serialize(Archive& archive, answer_end& e)
{
    archive(e.attempt, e.chunks, e.bytes);
}

template <class Archive>
void serialize(Archive& archive, answer_error& e)
{
    archive(e.attempt, e.cause, wire::named{e.known},
            wire::span{e.retry_after});
}

} // namespace bramleyarch

namespace bramleyarch::services
{

template <class Archive>
void serialize(Archive& archive, offer& o)
{
    archive(o.attempt, o.server, o.config_version, o.request, o.may_queue,
            o.may_wait_at_bound, o.must_run_alone);
}

template <class Archive>
void serialize(Archive& archive, cancel_attempt& c)
{
    archive(c.attempt);
}

template <class Archive>
void serialize(Archive& archive, grant_credit& g)
{
    archive(g.attempt, wire::compact{g.bytes});
}

template <class Archive>
void serialize(Archive& archive, redirect& r)
{
    archive(r.attempt, wire::named{r.cause}, r.load, wire::span{r.retry_after});
}

template <class Archive>
void serialize(Archive& archive, admitted& a)
{
    archive(a.attempt, a.load);
}

} // namespace bramleyarch::services
