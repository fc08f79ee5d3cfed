/// Encoding of the entries under which routers register in etcd.
#pragma once

#include "common/ids.hpp"
#include "etcd/key_value.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace bramleyarch::etcd
{

/// Registration of a router, stored below the instance prefix.
struct instance_record
{
    router_id id;
    domain_id domain;
    endpoint heartbeat;
    endpoint link;
    endpoint admin;
    bool leaving = false;
};

/// Encodes the value of an entry as JSON. The id is not part of the value: it
/// is the part of the key after the prefix.
std::string encode_instance(instance_record const& record);

/// Decodes an entry. Returns std::nullopt if the key lacks the prefix, the
/// value is not a JSON object, or the id, the failure domain or the heartbeat
/// address is missing.
std::optional<instance_record> decode_instance(std::string_view prefix,
                                               kv_entry const& entry);

} // namespace bramleyarch::etcd
