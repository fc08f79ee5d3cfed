/// Configuration service: adopts the newest configuration.
///
/// Documents come from the platform (watched by a few routers of each failure
/// domain), from peers, or from a file in embedded mode. Only a higher version
/// that passes all checks is adopted. It is then sent to the other services as
/// one immutable snapshot.
#pragma once

#include "config/settings.hpp"
#include "decisions/config_distribution.hpp"
#include "kernel/service.hpp"
#include "services/configuration/adoption.hpp"
#include "services/messages/configuration.hpp"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

namespace bramleyarch::services
{

/// Options of the configuration service.
struct configuration_options
{
    router_id self;
    domain_id domain;
    config::platform_mode mode = config::platform_mode::embedded;
    std::string config_file;  ///< Path of the document in embedded mode.
    std::string document_key; ///< Key of the document in etcd mode.
    /// Timeout of one read of the key.
    duration call_timeout = std::chrono::seconds{1};
    /// Interval between runs of the periodic work.
    duration tick = std::chrono::milliseconds{250};
    /// Interval between checks of the file for changes, and between reads of
    /// the key by a watcher.
    duration read_interval = std::chrono::seconds{2};
    /// Longest interval between reads of the key by a router without a
    /// configuration. The interval doubles with each consecutive failure.
    duration max_read_interval = std::chrono::seconds{10};
    decisions::config_fetch_options fetch;
};

/// State of reading the document's key from the platform.
struct platform_reading
{
    bool watcher = false; ///< This router watches the key.
    bool pending = false; ///< A read was sent and has no reply yet.
    /// Modification revision of the last entry received; 0 if there is none.
    std::int64_t mod_revision = 0;
    std::uint32_t failures = 0; ///< Number of consecutive failed reads.
    time_point next_at{};       ///< Earliest time of the next read.
};

/// State of reading the file in embedded mode.
struct file_reading
{
    std::filesystem::file_time_type modified{}; ///< Of the last read.
    std::uintmax_t bytes = 0;                   ///< Size at the last read.
    time_point next_at{}; ///< Earliest time of the next check.
};

/// State of the configuration service.
struct configuration_state
{
    configuration_options options;
    adoption_state adoption;
    decisions::config_fetch_state fetch;
    /// Highest advertised version of a peer that sent a faulty document. It and
    /// lower versions are not fetched from peers.
    revision faulty_version = 0;
    platform_reading reading;
    file_reading file;
    time_point counters_sent_at{};
    kernel::address<platform_message> platform;
    kernel::address<link_message> link;
};

/// Makes the service. In embedded mode a document without a version counts
/// as version 1.
kernel::service<configuration_state, configuration_message>
make_configuration_service(configuration_options options);

} // namespace bramleyarch::services
