/// What a router believes of the backend servers' machines and queues, from the
/// servers' reports and from the paces that other routers received.
///
/// The machines are shared with other workloads, so that their pace changes
/// within fractions of a second. All beliefs therefore have an age, lose weight
/// with it, and end after `max_pace_age`.
#pragma once

#include "common/enum_names.hpp"
#include "common/time.hpp"
#include "decisions/peer_heartbeat.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bramleyarch::decisions
{

/// Pace of a machine on which work takes as long as usual.
inline constexpr std::uint32_t usual_pace_percent = 100;

/// Greatest pace that is believed. A machine on which work takes 100 times as
/// long answers no request in time.
inline constexpr std::uint32_t max_pace_percent = 10'000;

struct server_model_options
{
    /// Reported requests count for this long, with decreasing weight. One
    /// interval of heartbeats: after it, peers have reported what they sent.
    duration counts_max_age = std::chrono::milliseconds{250};
    /// A pace differs from the usual one by half as much after this time.
    /// Peers learn a pace within two rounds of heartbeats, 500 ms, after which
    /// it should still affect their choices.
    duration pace_half_life = std::chrono::milliseconds{500};
    /// Paces are as usual again after this time. Limit of the requirements.
    duration max_pace_age = std::chrono::seconds{2};
    /// Smaller differences from the usual pace are not sent to peers. They
    /// change the choice less than one more request does.
    std::uint32_t notable_percent = 25;
    /// Paces in one heartbeat. At 64 heartbeats/s of 16 bytes for each pace,
    /// one pace costs 1 kB/s, and all of them less than a third of the 21 kB/s
    /// that control may cost a router.
    std::size_t max_sent = 6;
    /// Older paces are not sent: they have lost three quarters of their weight.
    duration max_sent_age = std::chrono::seconds{1};
    /// Weight of one measurement in the measured pace of a server, and in the
    /// usual time of its service. A server's pace follows within some answers;
    /// the usual time of a service covers many servers.
    double measured_weight = 0.25;
    double usual_time_weight = 1.0 / 64;
    /// Bound of the servers that are held, since heartbeats can name any.
    std::size_t max_servers = 4096;
};

/// Report of a server in the head of an answer.
struct server_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// In percent of the usual time; std::nullopt: not stated.
    std::optional<std::uint32_t> pace_percent;
};

struct observed_pace
{
    double percent = usual_pace_percent;
    time_point at{}; ///< When the server stated it, or it was measured.
    /// Since then it replaces a notable pace that peers may still believe.
    std::optional<time_point> corrects_since;
};

/// Observations of one server; the newest of each kind.
struct observed_server
{
    std::optional<server_report> report;
    time_point reported_at{};
    std::optional<observed_pace> stated;
    std::optional<observed_pace> measured;
};

/// Kinds of times from which a pace is measured.
enum class measured_time
{
    first_byte, ///< Per token of the prompt that is read.
    event_gap,  ///< Between events of a stream.
};

constexpr auto enum_names(measured_time)
{
    using m = measured_time;
    using row = enum_name<measured_time>;
    return std::array{row{m::first_byte, "first_byte"},
                      row{m::event_gap, "event_gap"}};
}

/// Usual time per unit of work of each kind, in ms; 0: not measured.
using usual_times = std::array<double, enum_size<measured_time>()>;

struct server_model
{
    server_model_options options;
    /// By the hash of the server's id.
    std::unordered_map<std::uint64_t, observed_server> servers;
    /// By the hash of the service's id.
    std::unordered_map<std::uint64_t, usual_times> usual;
};

/// Origin of a believed pace.
enum class pace_source
{
    none, ///< Nothing is known, so that the pace is as usual.
    stated,
    measured,
};

constexpr auto enum_names(pace_source)
{
    using s = pace_source;
    using row = enum_name<pace_source>;
    return std::array{row{s::none, "none"}, row{s::stated, "stated"},
                      row{s::measured, "measured"}};
}

struct believed_pace
{
    double percent = usual_pace_percent;
    pace_source source = pace_source::none;
    duration age{}; ///< Zero without a source.
};

/// Replaces what the server reported before.
void record_report(server_model& model, std::uint64_t server,
                   server_report const& report, time_point at);

/// Records a pace that a peer sent, unless a newer one is known or it is
/// malformed. `at` is the time of its arrival.
void record_peer_pace(server_model& model, aged_server_pace const& pace,
                      time_point at);

/// Records how long a server took for `work` units, relative to the servers of
/// its service. A unit is a prompt token to read, or one event.
void record_time(server_model& model, std::uint64_t service,
                 std::uint64_t server, measured_time kind, duration elapsed,
                 double work, time_point at);

/// Returns whether the server, itself or through peers, has stated its pace
/// within `max_pace_age`.
bool has_stated_pace(server_model const& model, std::uint64_t server,
                     time_point at);

/// Returns the believed pace of a server: the stated one, else the measured
/// one, closer to the usual pace the older it is.
believed_pace pace_at(server_model const& model, std::uint64_t server,
                      time_point at);

/// Returns the believed number of requests at a server: `counted`, which is
/// what routers have in flight there, or more if a fresh report says so. A
/// report never lowers the number: many routers read the same one, and all of
/// them would send requests to a server that looks idle.
double load_at(server_model const& model, std::uint64_t server, double counted,
               time_point at);

/// Returns the paces that are sent to peers: those unlike the usual one and
/// those that correct one, the newest first.
std::vector<aged_server_pace> paces_to_send(server_model const& model,
                                            time_point at);

/// Removes what no longer affects a belief.
void remove_expired(server_model& model, time_point at);

} // namespace bramleyarch::decisions
