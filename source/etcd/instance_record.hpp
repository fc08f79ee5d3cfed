/// Entries of the platform's list of routers.
#pragma once

#include "common/ids.hpp"
#include "etcd/key_value.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace bramleyarch::etcd
{

/// What a router writes about itself below the instance prefix.
struct instance_record
{
    router_id id;
    domain_id domain;
    endpoint heartbeat;
    endpoint link;
    endpoint admin;
    bool leaving = false;
};

/// The value: JSON without the id, which is the key's last part.
std::string encode_instance(instance_record const& record);

/// Reads an entry of the list; nothing for one that can't be read.
std::optional<instance_record> decode_instance(std::string_view prefix,
                                               kv_entry const& entry);

} // namespace bramleyarch::etcd
