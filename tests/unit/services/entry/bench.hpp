/// An entry service between a fake backend service and a recording caller, on
/// a stepped kernel with a paused clock.
#pragma once

#include "../recorder.hpp"

#include "common/digest.hpp"
#include "kernel/kernel.hpp"
#include "services/entry/entry_service.hpp"
#include "services/messages/names.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace bramleyarch::test
{

using namespace bramleyarch::services;
using namespace std::chrono_literals;

/// What the backend service was told, in order.
struct fake_backend
{
    std::vector<dispatch> sent;
    std::vector<attempt_id> aborted;
    std::vector<server_id> probed;
};

struct fake_backend_state
{
    std::shared_ptr<fake_backend> seen;
};

inline void keep(fake_backend_state& state, kernel::context<backend_message>&,
                 backend_message message)
{
    if (auto* sent = std::get_if<dispatch>(&message))
        state.seen->sent.push_back(std::move(*sent));
    if (auto* aborted = std::get_if<abort_attempt>(&message))
        state.seen->aborted.push_back(aborted->attempt);
    if (auto* probe = std::get_if<probe_server>(&message))
        state.seen->probed.push_back(probe->server);
}

/// Headers that name the server, the time left and the event to go on after.
inline std::vector<header_field>
test_headers(routed_request const&, config::listed_server const& server,
             attempt_parameters const& terms)
{
    std::vector<header_field> headers{
        {"server", server.id.value},
        {"left", std::to_string(to_ms(terms.time_left))}};
    if (terms.resume_after)
        headers.push_back({"resume", std::to_string(*terms.resume_after)});
    if (terms.copy_from)
        headers.push_back({"copy", terms.copy_from->address});
    return headers;
}

/// The header `standing` says what the answer is.
inline parsed_head test_facts(routed_request const&, int,
                              std::vector<header_field> const& headers)
{
    return {.kind = from_name<answer_kind>(find_header(headers, "standing"))
                        .value_or(answer_kind::genuine)};
}

/// What one caller got.
struct caller
{
    std::optional<answer_head> head;
    std::string body;
    bool ended = false;
    std::optional<answer_error> error;
};

struct entry_bench
{
    kernel::kernel k{kernel::run_mode::stepped};
    std::shared_ptr<fake_backend> backend = std::make_shared<fake_backend>();
    std::shared_ptr<std::vector<peers_message>> peers =
        add_recorder<peers_message>(k, service_name::peers);
    kernel::address<routing_message> entry;
    std::vector<std::unique_ptr<caller>> callers;
    config::deployment known;

    explicit entry_bench(entry_options options = {})
    {
        k.add(kernel::service<fake_backend_state, backend_message>{
            .name = std::string{to_name(service_name::backend)},
            .state = {backend},
            .receive = keep});
        options.self = {"r1"};
        options.domain = {"a"};
        options.dialect = {.make_attempt_headers = test_headers,
                           .parse_head = test_facts};
        entry = k.add(make_entry_service(std::move(options)));
        k.start();
        k.advance(1s);
        config::routing_rules rules{.version = 3};
        rules.services[{"desk"}] = {.id = {"desk"}, .cold_rate = 10};
        known.rules =
            std::make_shared<config::routing_rules const>(std::move(rules));
    }

    void add_server(std::string const& id, std::string const& domain = "a",
                    duration cold = {})
    {
        known.servers[{id}] = {.id = {id},
                               .service = {"desk"},
                               .domain = {domain},
                               .address = {"10.0.0.1", 80},
                               .slots = 6,
                               .cold_left = cold,
                               .born = 1,
                               .changed = ++last_change};
    }

    void publish()
    {
        send(entry, deployment_changed{
                        std::make_shared<config::deployment const>(known)});
        k.run_until_idle();
    }

    /// Hands in a request; its number names its caller.
    std::size_t submit(request_kind kind, std::uint32_t max_attempts = 2,
                       request_terms terms = {})
    {
        auto const number = callers.size();
        callers.push_back(std::make_unique<caller>());
        terms.max_attempts = max_attempts;
        terms.received = now(k.clock());
        terms.latency_target = 100ms;
        routed_request request{.id = id_of(number),
                               .service = {"desk"},
                               .kind = kind,
                               .deadline = now(k.clock()) + 2s,
                               .method = "POST",
                               .target = "/x",
                               .terms = std::move(terms)};
        send(entry,
             submit_request{std::move(request),
                            [to = callers.back().get()](answer_message message)
                            { take(*to, std::move(message)); }});
        k.run_until_idle();
        return number;
    }

    static request_id id_of(std::size_t number)
    {
        return {1, number + 1};
    }

    static void take(caller& to, answer_message message)
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

    void event(attempt_event what)
    {
        send(entry, std::move(what));
        k.run_until_idle();
    }

    /// The last attempt's server answers with `status` and `body`.
    void answer(int status, std::string body,
                std::vector<header_field> headers = {})
    {
        auto const id = backend->sent.back().attempt;
        event(backend_send_started{id});
        event(backend_head{id, status, std::move(headers)});
        if (!body.empty())
            event(backend_chunk{id, std::move(body)});
        event(backend_end{id});
    }

    void fail(bool sent, bool kept_connection = false)
    {
        auto const id = backend->sent.back().attempt;
        if (sent)
            event(backend_send_started{id});
        event(backend_failed{.attempt = id,
                             .cause = {error_kind::server_closed, "reset"},
                             .sent = sent,
                             .kept_connection = kept_connection});
    }

    revision last_change = 0;
};

} // namespace bramleyarch::test
