/// Decoding of a watch stream: one JSON object per line.
#pragma once

#include "etcd/key_value.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bramleyarch::etcd
{

/// One message of a watch. Entries of deleted keys have a `create_revision` of
/// 0.
struct watch_message
{
    /// Revision of the store when it sent the message.
    std::int64_t revision = 0;
    bool created = false;
    bool canceled = false;
    /// Earliest revision that a watch can start from.
    std::int64_t compact_revision = 0;
    std::vector<kv_entry> entries;
};

/// State of the decoder.
struct watch_decoder
{
    std::string buffer; ///< Bytes of an incomplete line.
    /// Set after a line that is too long or is not a watch message.
    bool broken = false;
};

/// Maximum length of a line. It fits a value of one megabyte in base64 with
/// its JSON envelope.
constexpr std::size_t max_watch_line_bytes = 2U << 20;

/// Appends bytes of the stream and returns the messages that they complete.
/// Returns no messages once the decoder is broken.
std::vector<watch_message> decode(watch_decoder& decoder,
                                  std::string_view bytes);

} // namespace bramleyarch::etcd
