/// Fixture with an entry service between a fake backend service and recording
/// callers, on a stepped kernel with a paused clock.
#pragma once

#include "../recorder.hpp"

#include "common/digest.hpp"
#include "kernel/kernel.hpp"
#include "services/entry/entry_service.hpp"
#include "services/messages/names.hpp"

#include <algorithm>
#include <charconv>
#include <memory>
#include <string>
#include <vector>

namespace bramleyarch::test
{

using namespace bramleyarch::services;
using namespace std::chrono_literals;

/// Messages that the fake backend service received, in order.
struct fake_backend
{
    std::vector<dispatch> sent;
    std::vector<attempt_id> aborted;
    std::vector<server_id> probed;
    std::uint64_t granted = 0; ///< Bytes of answers that may be read further.
};

struct fake_backend_state
{
    std::shared_ptr<fake_backend> received;
};

inline void record_message(fake_backend_state& state,
                           kernel::context<backend_message>&,
                           backend_message message)
{
    if (auto* sent = std::get_if<dispatch>(&message))
        state.received->sent.push_back(std::move(*sent));
    if (auto* aborted = std::get_if<abort_attempt>(&message))
        state.received->aborted.push_back(aborted->attempt);
    if (auto* grant = std::get_if<grant_backend_credit>(&message))
        state.received->granted += grant->bytes;
    if (auto* probe = std::get_if<probe_server>(&message))
        state.received->probed.push_back(probe->server);
}

/// Returns headers with the server and the attempt's parameters as text.
inline std::vector<header_field>
make_test_headers(routed_request const&, config::listed_server const& server,
                  attempt_parameters const& parameters)
{
    std::vector<header_field> headers{
        {"server", server.id.value},
        {"left", std::to_string(to_ms(parameters.time_left))}};
    if (parameters.resume_after)
        headers.push_back({"resume", std::to_string(*parameters.resume_after)});
    if (parameters.priority)
        headers.push_back({"priority", std::to_string(*parameters.priority)});
    if (parameters.copy_from)
        headers.push_back({"copy", parameters.copy_from->address});
    return headers;
}

/// Reads the kind of an answer from its header `answer-kind`. The headers
/// `leaving` and `pause` announce that the server leaves, or wants a pause of
/// 2 s. `limit` is the limit on the requests of all routers; it is malformed if
/// this is not a number. `pace` is the pace in a report of the server's load;
/// the report is malformed if this is not a number.
inline parsed_head parse_test_head(routed_request const&, int,
                                   std::vector<header_field> const& headers)
{
    auto const pace = find_header(headers, "pace");
    std::uint32_t percent = 0;
    auto const read =
        std::from_chars(pace.data(), pace.data() + pace.size(), percent);
    bool const is_valid = !pace.empty() && read.ec == std::errc{};
    auto const limit = find_header(headers, "limit");
    double rate = 0;
    bool const has_rate =
        std::from_chars(limit.data(), limit.data() + limit.size(), rate).ec ==
        std::errc{};
    using load = std::optional<reported_load>;
    using fault = std::optional<load_report_fault>;
    return {.kind = from_name<answer_kind>(find_header(headers, "answer-kind"))
                        .value_or(answer_kind::genuine),
            .load = is_valid ? load{{.slots = 6, .pace_percent = percent}}
                             : std::nullopt,
            .load_fault = pace.empty() || is_valid
                              ? std::nullopt
                              : fault{load_report_fault::not_a_number},
            .leaving = !find_header(headers, "leaving").empty(),
            .wanted_pause = find_header(headers, "pause").empty() ? 0s : 2s,
            .request_limit = has_rate ? std::optional{rate} : std::nullopt,
            .has_malformed_limit = !limit.empty() && !has_rate};
}

/// What one caller received.
struct caller
{
    std::optional<answer_head> head;
    std::string body;
    bool ended = false;
    std::optional<answer_error> error;
};

struct entry_fixture
{
    kernel::kernel test_kernel{kernel::run_mode::stepped};
    std::shared_ptr<fake_backend> backend = std::make_shared<fake_backend>();
    std::shared_ptr<std::vector<peers_message>> peers =
        add_recorder<peers_message>(test_kernel, service_name::peers);
    std::shared_ptr<std::vector<store_message>> store =
        add_recorder<store_message>(test_kernel, service_name::store);
    std::shared_ptr<std::vector<log_message>> logged =
        add_recorder<log_message>(test_kernel, service_name::log);
    kernel::address<routing_message> entry;
    std::vector<std::unique_ptr<caller>> callers;
    config::deployment deployment;

    explicit entry_fixture(entry_options options = {})
    {
        test_kernel.add(kernel::service<fake_backend_state, backend_message>{
            .name = std::string{to_name(service_name::backend)},
            .state = {backend},
            .receive = record_message});
        options.self = {"r1"};
        options.domain = {"a"};
        options.dialect = {.make_attempt_headers = make_test_headers,
                           .parse_head = parse_test_head};
        entry = test_kernel.add(make_entry_service(std::move(options)));
        test_kernel.start();
        test_kernel.advance(1s);
        config::routing_rules rules{.version = 3};
        rules.services[{"desk"}] = {.id = {"desk"}, .cold_rate = 10};
        deployment.rules =
            std::make_shared<config::routing_rules const>(std::move(rules));
    }

    /// Adds a server to `deployment`; takes effect with `publish_deployment`.
    void add_server(std::string const& id, std::string const& domain = "a",
                    duration cold_left = {})
    {
        deployment.servers[{id}] = {.id = {id},
                                    .service = {"desk"},
                                    .domain = {domain},
                                    .address = {"10.0.0.1", 80},
                                    .slots = 6,
                                    .cold_left = cold_left,
                                    .born = 1,
                                    .changed = ++last_change};
    }

    /// Sends `deployment` to the entry service.
    void publish_deployment()
    {
        send(entry,
             deployment_changed{
                 std::make_shared<config::deployment const>(deployment)});
        test_kernel.run_until_idle();
    }

    /// Submits a request; returns the index of its caller in `callers`.
    std::size_t submit(request_kind kind, std::uint32_t max_attempts = 2,
                       request_terms terms = {})
    {
        auto const index = callers.size();
        callers.push_back(std::make_unique<caller>());
        terms.max_attempts = max_attempts;
        terms.received = now(test_kernel.clock());
        terms.latency_target = 100ms;
        routed_request request{
            .id = id_of(index),
            .service = {"desk"},
            .kind = kind,
            .deadline = now(test_kernel.clock()) + time_limit,
            .method = "POST",
            .target = distinct_targets ? "/x/" + std::to_string(index) : "/x",
            .terms = std::move(terms)};
        send(entry,
             submit_request{std::move(request),
                            [to = callers.back().get()](answer_message message)
                            { record_answer(*to, std::move(message)); }});
        test_kernel.run_until_idle();
        return index;
    }

    static request_id id_of(std::size_t index)
    {
        return {1, index + 1};
    }

    static void record_answer(caller& to, answer_message message)
    {
        if (auto* head = std::get_if<answer_head>(&message))
            to.head = std::move(*head);
        if (auto* chunk = std::get_if<answer_chunk>(&message))
            to.body += chunk->bytes;
        if (std::holds_alternative<answer_end>(message))
            to.ended = true;
        if (auto* error = std::get_if<answer_error>(&message))
            to.error = std::move(*error);
    }

    /// Delivers an event of the backend service to the entry service.
    void deliver(attempt_event event)
    {
        send(entry, std::move(event));
        test_kernel.run_until_idle();
    }

    /// Completes the last attempt with an answer.
    void answer_last_attempt(int status, std::string body,
                             std::vector<header_field> headers = {})
    {
        auto const id = backend->sent.back().attempt;
        deliver(backend_send_started{id});
        deliver(backend_head{id, status, std::move(headers)});
        if (!body.empty())
            deliver(backend_chunk{id, std::move(body)});
        deliver(backend_end{id});
    }

    /// Fails the last attempt; `sent` says whether the request was sent.
    void fail_last_attempt(bool sent, bool kept_connection = false)
    {
        auto const id = backend->sent.back().attempt;
        if (sent)
            deliver(backend_send_started{id});
        deliver(backend_failed{.attempt = id,
                               .cause = {error_kind::server_closed, "reset"},
                               .sent = sent,
                               .kept_connection = kept_connection});
    }

    /// Lets the server of the last attempt crash: the connection ends, and a
    /// probe does not reach the server.
    void crash_server_of_last_attempt(bool kept_connection = false)
    {
        auto const server = backend->sent.back().server;
        fail_last_attempt(true, kept_connection);
        deliver(server_probed{.server = server, .reachable = false});
    }

    revision last_change = 0;
    /// Whether submitted requests differ, so that none repeats another.
    bool distinct_targets = false;
    duration time_limit = 2s; ///< Of submitted requests.
};

constexpr auto idempotent = request_kind::idempotent;
constexpr auto non_idempotent = request_kind::non_idempotent;

/// An entry service with the servers s1 and s2.
struct two_server_fixture : entry_fixture
{
    explicit two_server_fixture(entry_options options = {})
        : entry_fixture(std::move(options))
    {
        add_server("s1");
        add_server("s2");
        publish_deployment();
    }

    caller& last_caller()
    {
        return *callers.back();
    }
};

} // namespace bramleyarch::test
