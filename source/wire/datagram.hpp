/// Encoding of messages as datagrams. A datagram is one message after magic
/// bytes, which identify the kind of message and the version of its encoding.
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
std::string encode_datagram(std::string_view magic, Message const& message)
{
    std::string datagram{magic};
    string_sink sink{datagram};
    std::ostream stream{&sink};
    cereal::PortableBinaryOutputArchive archive{stream};
    archive(message);
    return datagram;
}

/// Decodes the message in a datagram. Fails with `link_protocol` if the
/// datagram is longer than `max_bytes`, does not start with `magic`, can't be
/// decoded or has bytes after the message.
template <class Message>
result<Message> decode_datagram(std::string_view magic, std::size_t max_bytes,
                                std::string_view datagram)
{
    if (datagram.size() > max_bytes || !datagram.starts_with(magic))
        return fail(error_kind::link_protocol,
                    "datagram is too long or of another kind or version");
    memory_source source{datagram.substr(magic.size())};
    std::istream stream{&source};
    try
    {
        cereal::PortableBinaryInputArchive archive{stream};
        Message decoded;
        archive(decoded);
        if (source.remaining() != 0)
            return fail(error_kind::link_protocol,
                        "datagram has bytes after the message");
        return decoded;
    }
    catch (std::exception const& exception)
    {
        return fail(error_kind::link_protocol,
                    std::string{"datagram can't be decoded: "} +
                        exception.what());
    }
}

} // namespace bramleyarch::wire
