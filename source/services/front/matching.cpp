#include "services/front/matching.hpp"

#include "common/digest.hpp"
#include "services/front/chat_body.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <limits>
#include <optional>

namespace bramleyarch::services
{

namespace
{

constexpr std::string_view chat_path = "/chat/completions";

/// Estimate of the prompt bytes per token.
constexpr std::uint64_t bytes_per_token = 4;

/// Returns the target without its query.
std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

result<team_id> find_team(team_index const& teams,
                          incoming_request const& request)
{
    constexpr std::string_view scheme = "Bearer ";
    auto const credentials = find_header(request.headers, "authorization");
    if (!credentials.starts_with(scheme))
        return fail(error_kind::unauthorized,
                    "the Authorization header has no bearer key");
    auto const found =
        teams.find(sha256_hex(credentials.substr(scheme.size())));
    if (found == teams.end())
        return fail(error_kind::unauthorized, "the API key belongs to no team");
    return found->second;
}

/// Whether `path` equals `prefix` or is below it in the hierarchy of paths.
bool is_under_prefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return false;
    return path.size() == prefix.size() || prefix.ends_with('/') ||
           path[prefix.size()] == '/';
}

/// Returns the services whose prefix is the longest one that contains `path`.
/// Services of models can share a prefix.
std::vector<config::service_config const*>
find_services_by_prefix(config::document const& config, std::string_view path)
{
    std::vector<config::service_config const*> found;
    std::size_t longest = 0;
    for (auto const& service : config.services)
    {
        auto const length = service.path_prefix.size();
        if (!is_under_prefix(path, service.path_prefix) || length < longest)
            continue;
        if (length > longest)
            found.clear();
        longest = length;
        found.push_back(&service);
    }
    return found;
}

/// Returns the rest of `path` after the prefix of the service. It begins with
/// a slash.
std::string_view path_in_service(config::service_config const& service,
                                 std::string_view path)
{
    auto const rest = path.substr(service.path_prefix.size());
    if (service.path_prefix.ends_with('/'))
        return path.substr(service.path_prefix.size() - 1);
    return rest.empty() ? std::string_view{"/"} : rest;
}

/// Returns the kind of the first matching route, or the default kind of the
/// service.
request_kind find_request_kind(config::service_config const& service,
                               std::string_view method, std::string_view path)
{
    auto const relative_path = path_in_service(service, path);
    for (auto const& route : service.routes)
    {
        if ((route.method == "*" || route.method == method) &&
            relative_path.starts_with(route.path_prefix))
            return route.kind;
    }
    return service.default_kind;
}

/// Returns std::nullopt if `text` is not entirely a number of this type.
template <class Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number value = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return value;
}

/// The caller can shorten the deadline of the service, but not extend it.
result<void> set_deadline(routed_request& routed,
                          config::service_config const& service,
                          incoming_request const& request)
{
    auto limit = service.deadline;
    if (auto const text = find_header(request.headers, "x-deadline-ms");
        !text.empty())
    {
        auto const requested = parse_number<std::uint32_t>(text);
        if (!requested || *requested == 0)
            return fail(
                error_kind::invalid_request,
                "X-Deadline-Ms is not a positive number of milliseconds");
        limit = std::min(limit, config::milliseconds{*requested});
    }
    routed.deadline = request.received + limit;
    return boost::outcome_v2::success();
}

/// The caller can lower the priority of the service, but not raise it.
result<void> set_priority(routed_request& routed,
                          config::service_config const& service,
                          incoming_request const& request)
{
    routed.priority = service.priority;
    auto const text = find_header(request.headers, "x-priority");
    if (text.empty())
        return boost::outcome_v2::success();
    auto const requested = from_name<request_priority>(text);
    if (!requested)
        return fail(error_kind::invalid_request,
                    "X-Priority is not interactive, standard or batch");
    routed.priority = std::max(service.priority, *requested);
    return boost::outcome_v2::success();
}

/// Requests that are not idempotent need a key, by which they run at most once.
result<void> set_idempotency_key(routed_request& routed,
                                 incoming_request const& request)
{
    if (routed.kind == request_kind::idempotent)
        return boost::outcome_v2::success();
    auto const text = find_header(request.headers, "idempotency-key");
    if (text.empty())
        return fail(
            error_kind::idempotency_key_missing,
            "a request that is not idempotent needs an Idempotency-Key");
    auto key = parse_idempotency_key(text);
    if (!key)
        return std::move(key).as_failure();
    routed.key = key.value();
    return boost::outcome_v2::success();
}

result<void> set_resume_offset(routed_request& routed,
                               incoming_request const& request)
{
    auto const text = find_header(request.headers, "x-resume-offset");
    if (text.empty())
        return boost::outcome_v2::success();
    auto const offset = parse_number<std::uint64_t>(text);
    if (!offset)
        return fail(error_kind::invalid_request,
                    "X-Resume-Offset is not a number of bytes");
    routed.resume_offset = *offset;
    return boost::outcome_v2::success();
}

/// Makes the headers for the backend server. Removes the API key of the caller
/// and the headers whose values are set for each hop, and adds the effective
/// priority and the id of the request.
std::vector<header_field>
make_backend_headers(routed_request const& routed,
                     std::vector<header_field> headers)
{
    std::erase_if(headers,
                  [](header_field const& field)
                  {
                      return field.name == "authorization" ||
                             field.name == "host" ||
                             field.name == "x-priority" ||
                             field.name == "x-resume-offset";
                  });
    headers.push_back({"x-priority", std::string{to_name(routed.priority)}});
    headers.push_back({"x-request-id", fmt::format("{}-{}", routed.id.entry,
                                                   routed.id.sequence)});
    return headers;
}

/// Hashes the id or the first turn of a chat together with the team, so that
/// chats of different teams have different hashes.
std::uint64_t chat_hash(routed_request const& routed, std::string_view chat)
{
    auto team_and_chat = routed.team.value;
    team_and_chat.push_back('\0');
    team_and_chat += chat;
    return fingerprint(team_and_chat);
}

/// Returns null if no service offers the model.
config::service_config const*
find_model_service(std::vector<config::service_config const*> const& services,
                   std::string const& model)
{
    for (auto const* service : services)
    {
        auto const& models = service->models;
        if (service->kind == config::service_kind::model &&
            std::find(models.begin(), models.end(), model) != models.end())
            return service;
    }
    return nullptr;
}

/// Parses the body of a chat request, finds the service of its model and sets
/// the chat hash, the expected work and the model of the routed request.
result<config::service_config const*>
match_chat(routed_request& routed, incoming_request const& request,
           std::vector<config::service_config const*> const& services)
{
    auto const expected_path =
        std::string{services.front()->path_prefix} + std::string{chat_path};
    if (request.method != "POST" || path_of(request.target) != expected_path)
        return fail(error_kind::not_found,
                    "chat requests must be sent by POST to " + expected_path);
    auto parsed = parse_chat_body(*request.body);
    if (!parsed)
        return std::move(parsed).as_failure();
    auto const& chat = parsed.value();
    auto const* const service = find_model_service(services, chat.model);
    if (!service)
        return fail(error_kind::not_found,
                    "no service offers the model \"" + chat.model + "\"");
    auto const chat_id = find_header(request.headers, "x-chat-id");
    constexpr std::uint64_t max_work =
        std::numeric_limits<std::uint32_t>::max();
    auto const prompt_tokens = chat.prompt_bytes / bytes_per_token;
    routed.chat =
        chat_hash(routed, chat_id.empty() ? chat.first_turn : chat_id);
    routed.work = static_cast<std::uint32_t>(std::clamp<std::uint64_t>(
        prompt_tokens + std::min(chat.max_tokens, max_work), 1, max_work));
    routed.model = chat.model;
    return service;
}

/// Finds the service of a request and sets what depends on the kind of the
/// service. Each request to a plain service that has no chat id gets a hash of
/// its own.
result<config::service_config const*>
match_service(config::document const& config, routed_request& routed,
              incoming_request const& request)
{
    auto const services =
        find_services_by_prefix(config, path_of(request.target));
    if (services.empty())
        return fail(error_kind::not_found, "no service serves this path");
    if (services.front()->kind == config::service_kind::model)
        return match_chat(routed, request, services);
    auto const chat_id = find_header(request.headers, "x-chat-id");
    routed.chat = chat_id.empty() ? mix(routed.id.entry, routed.id.sequence)
                                  : chat_hash(routed, chat_id);
    return services.front();
}

} // namespace

team_index make_team_index(config::document const& config)
{
    team_index index;
    for (auto const& team : config.teams)
    {
        for (auto const& digest : team.api_key_digests)
            index.emplace(digest, team.id);
    }
    return index;
}

result<routed_request> match_request(config::document const& config,
                                     team_index const& teams,
                                     incoming_request incoming)
{
    auto team = find_team(teams, incoming);
    if (!team)
        return std::move(team).as_failure();
    routed_request routed{.id = incoming.id,
                          .team = std::move(team).value(),
                          .method = incoming.method,
                          .target = incoming.target};
    auto const matched = match_service(config, routed, incoming);
    if (!matched)
        return boost::outcome_v2::failure(matched.error());
    auto const& service = *matched.value();
    routed.service = service.id;
    routed.kind =
        find_request_kind(service, incoming.method, path_of(incoming.target));
    for (auto const& step : {set_deadline(routed, service, incoming),
                             set_priority(routed, service, incoming),
                             set_idempotency_key(routed, incoming),
                             set_resume_offset(routed, incoming)})
    {
        if (!step)
            return boost::outcome_v2::failure(step.error());
    }
    // Requests without a body are distinguished by their method and target.
    // Otherwise one suspected request would cause the refusal of all of them.
    routed.body_fingerprint =
        incoming.body->empty()
            ? fingerprint(incoming.method + ' ' + incoming.target)
            : fingerprint(*incoming.body);
    routed.headers = make_backend_headers(routed, std::move(incoming.headers));
    routed.body = std::move(incoming.body);
    return routed;
}

} // namespace bramleyarch::services
