/// Serialization of the protocols between routers: cereal's portable binary
/// archives over memory, with lengths in a variable number of bytes.
///
/// Loading does not allocate memory according to a length in the input alone:
/// strings grow in steps of `load_step_bytes` and lists by one element, as long
/// as input remains. Malformed input throws a `cereal::Exception`, which the
/// codecs of this package convert into an `error`.
#pragma once

#include "common/enum_names.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/array.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <istream>
#include <limits>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace bramleyarch::wire
{

/// Longest list in a message.
constexpr std::uint64_t max_list_elements = 4096;

/// Longest string in a message. Frames and datagrams have lower limits.
constexpr std::uint64_t max_string_bytes = 1U << 24;

/// Step in which a string grows while it is loaded.
constexpr std::size_t load_step_bytes = 64U << 10;

/// Stream buffer that appends to a string.
class string_sink : public std::streambuf
{
public:
    explicit string_sink(std::string& target) : target_{target} {}

protected:
    std::streamsize xsputn(char const* data, std::streamsize size) override
    {
        target_.append(data, static_cast<std::size_t>(size));
        return size;
    }

    int_type overflow(int_type character) override
    {
        target_.push_back(traits_type::to_char_type(character));
        return character;
    }

private:
    std::string& target_;
};

/// Stream buffer that reads from memory, which must outlive it.
class memory_source : public std::streambuf
{
public:
    explicit memory_source(std::string_view bytes)
    {
        auto* begin = const_cast<char*>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }

    [[nodiscard]] std::size_t remaining() const
    {
        return static_cast<std::size_t>(egptr() - gptr());
    }
};

/// Saves an unsigned number in 1 to 10 bytes, seven bits in each, the lowest
/// first.
template <class Archive>
void save_compact(Archive& archive, std::uint64_t number)
{
    while (number >= 0x80)
    {
        archive(static_cast<std::uint8_t>(number | 0x80));
        number >>= 7;
    }
    archive(static_cast<std::uint8_t>(number));
}

/// Loads a number saved by `save_compact`. Throws a `cereal::Exception` if it
/// is greater than `limit`.
template <class Archive>
std::uint64_t load_compact(Archive& archive, std::uint64_t limit = UINT64_MAX)
{
    std::uint64_t number = 0;
    for (unsigned shift = 0; shift < 64; shift += 7)
    {
        std::uint8_t byte = 0;
        archive(byte);
        std::uint64_t const bits = byte & 0x7fU;
        if (shift == 63 && bits > 1)
            break;
        number |= bits << shift;
        if (byte < 0x80 && number <= limit)
            return number;
        if (byte < 0x80)
            break;
    }
    throw cereal::Exception{"number out of range"};
}

/// Serializes a number in as few bytes as it needs.
template <class Number>
struct compact
{
    Number& number;

    template <class Archive>
    void save(Archive& archive) const
    {
        save_compact(archive, static_cast<std::uint64_t>(number));
    }

    template <class Archive>
    void load(Archive& archive)
    {
        constexpr auto limit =
            std::numeric_limits<std::remove_const_t<Number>>::max();
        number = static_cast<Number>(
            load_compact(archive, static_cast<std::uint64_t>(limit)));
    }
};

template <class Number>
compact(Number&) -> compact<Number>;

/// Serializes an enumerator as one byte. Throws a `cereal::Exception` when a
/// loaded value is not in the table of names.
template <class Enum>
struct named_enum
{
    Enum& value;

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(static_cast<std::uint8_t>(value));
    }

    template <class Archive>
    void load(Archive& archive)
    {
        std::uint8_t byte = 0;
        archive(byte);
        auto const loaded = static_cast<std::remove_const_t<Enum>>(byte);
        for (auto const& row : enum_names(loaded))
        {
            if (row.value == loaded)
            {
                value = loaded;
                return;
            }
        }
        throw cereal::Exception{"enumeration value without a name"};
    }
};

template <class Enum>
named_enum(Enum&) -> named_enum<Enum>;

} // namespace bramleyarch::wire

namespace cereal
{

template <class Archive>
void save(Archive& archive, std::string const& text)
{
    bramleyarch::wire::save_compact(archive, text.size());
    archive(binary_data(text.data(), text.size()));
}

template <class Archive>
void load(Archive& archive, std::string& text)
{
    namespace wire = bramleyarch::wire;
    std::size_t remaining = wire::load_compact(archive, wire::max_string_bytes);
    text.clear();
    while (remaining > 0)
    {
        std::size_t const loaded = text.size();
        std::size_t const step = std::min(remaining, wire::load_step_bytes);
        text.resize(loaded + step);
        archive(binary_data(text.data() + loaded, step));
        remaining -= step;
    }
}

template <class Archive, class Element>
void save(Archive& archive, std::vector<Element> const& list)
{
    bramleyarch::wire::save_compact(archive, list.size());
    for (auto const& element : list)
        archive(element);
}

template <class Archive, class Element>
void load(Archive& archive, std::vector<Element>& list)
{
    namespace wire = bramleyarch::wire;
    auto const count = wire::load_compact(archive, wire::max_list_elements);
    list.clear();
    for (std::uint64_t i = 0; i < count; ++i)
        archive(list.emplace_back());
}

} // namespace cereal
