/// Configuration service: brings the newest configuration into force.
///
/// Documents come from the platform (watched by a few routers of each failure
/// domain), from peers, or from a file in embedded mode. Only a higher version
/// that passes all checks is adopted; it is then sent to the other services
/// as one immutable snapshot.
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

struct configuration_options
{
    router_id self;
    domain_id domain;
    config::platform_mode mode = config::platform_mode::embedded;
    std::string config_file;  ///< Embedded mode.
    std::string document_key; ///< etcd mode.
    duration call_timeout = std::chrono::seconds{1};
    duration tick = std::chrono::milliseconds{250};
    /// Between looks at the file, and between a watcher's reads of the key.
    duration read_interval = std::chrono::seconds{2};
    /// Longest interval between failing reads of a router without a
    /// configuration.
    duration max_read_interval = std::chrono::seconds{10};
    decisions::config_fetch_options fetch;
};

/// Reading of the platform's key.
struct platform_reading
{
    bool watcher = false;
    bool open = false;             ///< A read was sent and not answered yet.
    std::int64_t mod_revision = 0; ///< Of the entry seen last; 0: none.
    std::uint32_t failures = 0;    ///< In a row.
    time_point next_at{};
};

/// Reading of the file in embedded mode.
struct file_reading
{
    std::filesystem::file_time_type modified{};
    std::uintmax_t bytes = 0;
    time_point next_at{};
};

struct configuration_state
{
    configuration_options options;
    adoption_state adopted;
    decisions::config_fetch_state fetch;
    revision refused = 0; ///< Version of peers that was found faulty.
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
