/// Serialization of the messages of the fleet link. The order of the fields is
/// the layout on the wire.
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

/// Upper limit of the durations in a frame.
constexpr duration max_duration = std::chrono::hours{24};

/// Serializes a duration in microseconds. Durations outside the range from zero
/// to `max_duration` are clamped when saved and rejected when loaded.
struct compact_duration
{
    duration& value;

    template <class Archive>
    void save(Archive& archive) const
    {
        auto const bounded = std::clamp(value, duration::zero(), max_duration);
        save_compact(archive,
                     static_cast<std::uint64_t>(bounded.count() / 1000));
    }

    template <class Archive>
    void load(Archive& archive)
    {
        auto const limit =
            static_cast<std::uint64_t>(max_duration.count() / 1000);
        value = std::chrono::microseconds{load_compact(archive, limit)};
    }
};

/// Serializes a shared string. A null pointer and an empty string are encoded
/// differently.
struct shared_string
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

/// Serializes an optional value after a flag that says whether it is present.
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
void serialize(Archive& archive, hello& message)
{
    archive(message.from, message.to, message.started);
}

template <class Archive>
void serialize(Archive& archive, link_heartbeat& heartbeat)
{
    archive(heartbeat.number, heartbeat.reply);
}

template <class Archive>
void serialize(Archive& archive, config_fetch& fetch)
{
    archive(fetch.newer_than);
}

template <class Archive>
void serialize(Archive& archive, config_answer& answer)
{
    archive(answer.json);
}

} // namespace bramleyarch::wire

namespace bramleyarch
{

template <class Archive>
void serialize(Archive& archive, server_load& load)
{
    archive(load.server, wire::compact{load.in_flight},
            wire::compact{load.queued}, wire::compact{load.limit}, load.cold,
            load.usable);
}

/// Serializes all fields but the deadline, which frames carry as the remaining
/// time.
template <class Archive>
void serialize(Archive& archive, routed_request& request)
{
    archive(request.id, request.team, request.service, request.model,
            wire::named_enum{request.kind}, wire::named_enum{request.priority},
            request.chat, wire::optional_value{request.key});
    archive(request.method, request.target, request.headers,
            wire::shared_string{request.body});
    archive(wire::compact{request.work}, request.body_fingerprint,
            request.resume_offset);
}

template <class Archive>
void serialize(Archive& archive, error& failure)
{
    archive(wire::named_enum{failure.kind}, failure.detail);
}

template <class Archive>
void serialize(Archive& archive, answer_head& head)
{
    archive(head.attempt, head.status, head.headers, head.server);
}

template <class Archive>
void serialize(Archive& archive, answer_chunk& chunk)
{
    archive(chunk.attempt, chunk.sequence, chunk.bytes);
}

template <class Archive>
void serialize(Archive& archive, answer_end& end)
{
    archive(end.attempt, end.chunks, end.bytes);
}

template <class Archive>
void serialize(Archive& archive, answer_error& failure)
{
    archive(failure.attempt, failure.cause, wire::named_enum{failure.known},
            wire::compact_duration{failure.retry_after});
}

} // namespace bramleyarch

namespace bramleyarch::services
{

template <class Archive>
void serialize(Archive& archive, offer& offered)
{
    archive(offered.attempt, offered.server, offered.config_version,
            offered.request, offered.may_queue, offered.may_wait_at_bound,
            offered.must_run_alone);
}

template <class Archive>
void serialize(Archive& archive, cancel_attempt& cancellation)
{
    archive(cancellation.attempt);
}

template <class Archive>
void serialize(Archive& archive, grant_credit& credit)
{
    archive(credit.attempt, wire::compact{credit.bytes});
}

template <class Archive>
void serialize(Archive& archive, redirect& redirection)
{
    archive(redirection.attempt, wire::named_enum{redirection.cause},
            redirection.load, wire::compact_duration{redirection.retry_after});
}

template <class Archive>
void serialize(Archive& archive, admitted& admission)
{
    archive(admission.attempt, admission.load);
}

} // namespace bramleyarch::services
