/// One message to a datagram, behind a mark that names its kind and version.
#pragma once

#include "common/error.hpp"
#include "wire/archive.hpp"

#include <cstddef>
#include <exception>
#include <string>
#include <string_view>

namespace bramleyarch::wire
{

template <class Message>
std::string encode_datagram(std::string_view mark, Message const& message)
{
    std::string out{mark};
    string_sink sink{out};
    std::ostream stream{&sink};
    cereal::PortableBinaryOutputArchive archive{stream};
    archive(message);
    return out;
}

/// Errors are `link_protocol`: another mark, more than `max_bytes`, bytes that
/// can't be loaded or that follow the message.
template <class Message>
result<Message> decode_datagram(std::string_view mark, std::size_t max_bytes,
                                std::string_view datagram)
{
    if (datagram.size() > max_bytes || !datagram.starts_with(mark))
        return fail(error_kind::link_protocol, "another kind of datagram");
    memory_source source{datagram.substr(mark.size())};
    std::istream stream{&source};
    try
    {
        cereal::PortableBinaryInputArchive archive{stream};
        Message decoded;
        archive(decoded);
        if (source.remaining() != 0)
            return fail(error_kind::link_protocol, "bytes after the message");
        return decoded;
    }
    catch (std::exception const& e)
    {
        return fail(error_kind::link_protocol,
                    std::string{"datagram: "} + e.what());
    }
}

} // namespace bramleyarch::wire
