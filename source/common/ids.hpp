/// Identifiers of the things that the fleet routes between.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace bramleyarch
{

/// A string identifier that does not convert to one of another kind.
template <class Tag>
struct string_id
{
    std::string value;

    // The check mistakes the zero of a rewritten comparison for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(string_id const&) const = default;

    [[nodiscard]] bool empty() const
    {
        return value.empty();
    }

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(value);
    }
};

using team_id = string_id<struct team_tag>;
using service_id = string_id<struct service_tag>;
using server_id = string_id<struct server_tag>;
using domain_id = string_id<struct domain_tag>;
using region_id = string_id<struct region_tag>;
using router_id = string_id<struct router_tag>;

/// Start number of a process: higher for each later start of the same router.
using incarnation = std::uint64_t;

/// Number of an accepted configuration; never decreases within a fleet.
using revision = std::uint64_t;

/// Identifies one caller's request across the fleet.
struct request_id
{
    incarnation entry = 0;      ///< Incarnation of the entry router.
    std::uint64_t sequence = 0; ///< Counter within that incarnation.

    // The check mistakes the zero of a rewritten comparison for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(request_id const&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(entry, sequence);
    }
};

/// Identifies one try of a request; answers of earlier tries are dropped.
struct attempt_id
{
    request_id request;
    std::uint32_t number = 0; ///< 1 for the first try.

    // The check mistakes the zero of a rewritten comparison for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(attempt_id const&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(request, number);
    }
};

/// An IPv4 address and port to listen on or connect to.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    // The check mistakes the zero of a rewritten comparison for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(endpoint const&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(address, port);
    }
};

} // namespace bramleyarch

template <class Tag>
struct std::hash<bramleyarch::string_id<Tag>>
{
    std::size_t operator()(bramleyarch::string_id<Tag> const& id) const noexcept
    {
        return std::hash<std::string>{}(id.value);
    }
};

template <>
struct std::hash<bramleyarch::request_id>
{
    std::size_t operator()(bramleyarch::request_id const& id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.entry * 0x9e3779b97f4a7c15U ^
                                          id.sequence);
    }
};

template <>
struct std::hash<bramleyarch::attempt_id>
{
    std::size_t operator()(bramleyarch::attempt_id const& id) const noexcept
    {
        return std::hash<bramleyarch::request_id>{}(id.request) * 31 +
               id.number;
    }
};
