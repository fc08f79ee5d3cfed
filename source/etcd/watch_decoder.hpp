/// The stream of a watch: JSON objects, one a line.
#pragma once

#include "etcd/key_value.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bramleyarch::etcd
{

/// One message of a watch. Erased keys have a `create_revision` of 0.
struct watch_message
{
    std::int64_t revision = 0; ///< Of the service, when it was sent.
    bool created = false;
    bool canceled = false;
    std::int64_t compact_revision = 0; ///< Earliest that can be watched from.
    std::vector<kv_entry> entries;
};

/// Bytes that have not made a line yet.
struct watch_decoder
{
    std::string buffer;
    bool broken = false; ///< A line was too long or no message of a watch.
};

/// Longest line: a value of one megabyte in base64 with its frame.
constexpr std::size_t max_watch_line_bytes = 2U << 20;

/// Takes bytes of the stream and returns the messages completed by them.
/// Nothing more is decoded once the decoder is broken.
std::vector<watch_message> decode(watch_decoder& decoder,
                                  std::string_view bytes);

} // namespace bramleyarch::etcd
