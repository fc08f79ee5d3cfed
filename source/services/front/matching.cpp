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
constexpr std::uint64_t bytes_per_token = 4;

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
        return fail(error_kind::unauthorized, "no bearer key");
    auto const found =
        teams.find(sha256_hex(credentials.substr(scheme.size())));
    if (found == teams.end())
        return fail(error_kind::unauthorized, "key of no team");
    return found->second;
}

/// Whether `path` is `prefix` or lies below it.
bool lies_under(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return false;
    return path.size() == prefix.size() || prefix.ends_with('/') ||
           path[prefix.size()] == '/';
}

/// Services with the longest prefix that `path` lies under.
std::vector<config::service_config const*>
services_under(config::document const& config, std::string_view path)
{
    std::vector<config::service_config const*> found;
    std::size_t longest = 0;
    for (auto const& service : config.services)
    {
        auto const length = service.path_prefix.size();
        if (!lies_under(path, service.path_prefix) || length < longest)
            continue;
        if (length > longest)
            found.clear();
        longest = length;
        found.push_back(&service);
    }
    return found;
}

std::string_view path_within(config::service_config const& service,
                             std::string_view path)
{
    auto const rest = path.substr(service.path_prefix.size());
    if (service.path_prefix.ends_with('/'))
        return path.substr(service.path_prefix.size() - 1);
    return rest.empty() ? std::string_view{"/"} : rest;
}

request_kind kind_of(config::service_config const& service,
                     std::string_view method, std::string_view path)
{
    auto const within = path_within(service, path);
    for (auto const& route : service.routes)
    {
        if ((route.method == "*" || route.method == method) &&
            within.starts_with(route.path_prefix))
            return route.kind;
    }
    return service.default_kind;
}

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

result<void> set_deadline(routed_request& routed,
                          config::service_config const& service,
                          incoming_request const& request)
{
    auto limit = service.deadline;
    if (auto const text = find_header(request.headers, "x-deadline-ms");
        !text.empty())
    {
        auto const asked = parse_number<std::uint32_t>(text);
        if (!asked || *asked == 0)
            return fail(error_kind::invalid_request,
                        "X-Deadline-Ms is not a number of milliseconds");
        limit = std::min(limit, config::milliseconds{*asked});
    }
    routed.deadline = request.received + limit;
    return boost::outcome_v2::success();
}

/// A caller may lower its service's priority, not raise it.
result<void> set_priority(routed_request& routed,
                          config::service_config const& service,
                          incoming_request const& request)
{
    routed.priority = service.priority;
    auto const text = find_header(request.headers, "x-priority");
    if (text.empty())
        return boost::outcome_v2::success();
    auto const asked = from_name<request_priority>(text);
    if (!asked)
        return fail(error_kind::invalid_request,
                    "X-Priority is not interactive, standard or batch");
    routed.priority = std::max(service.priority, *asked);
    return boost::outcome_v2::success();
}

result<void> set_key(routed_request& routed, incoming_request const& request)
{
    if (routed.kind == request_kind::idempotent)
        return boost::outcome_v2::success();
    auto const text = find_header(request.headers, "idempotency-key");
    if (text.empty())
        return fail(error_kind::idempotency_key_missing,
                    "this action runs at most once");
    auto key = parse_idempotency_key(text);
    if (!key)
        return std::move(key).as_failure();
    routed.key = key.value();
    return boost::outcome_v2::success();
}

result<void> set_resume(routed_request& routed, incoming_request const& request)
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

/// Headers for the backend server: the caller's, without its key.
std::vector<header_field> pass_on(routed_request const& routed,
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

std::uint64_t chat_hash(routed_request const& routed, std::string_view text)
{
    auto keyed = routed.team.value;
    keyed.push_back('\0');
    keyed += text;
    return fingerprint(keyed);
}

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

/// Reads the chat body, finds its service and sets what follows from both.
result<config::service_config const*>
match_chat(routed_request& routed, incoming_request const& request,
           std::vector<config::service_config const*> const& services)
{
    auto const expected =
        std::string{services.front()->path_prefix} + std::string{chat_path};
    if (request.method != "POST" || path_of(request.target) != expected)
        return fail(error_kind::not_found,
                    "models are asked by POST " + expected);
    auto read = parse_chat_body(*request.body);
    if (!read)
        return std::move(read).as_failure();
    auto const& chat = read.value();
    auto const* const service = find_model_service(services, chat.model);
    if (!service)
        return fail(error_kind::not_found,
                    "no service has the model \"" + chat.model + "\"");
    auto const id = find_header(request.headers, "x-chat-id");
    constexpr std::uint64_t most = std::numeric_limits<std::uint32_t>::max();
    auto const prompt = chat.prompt_bytes / bytes_per_token;
    routed.chat = chat_hash(routed, id.empty() ? chat.opening : id);
    routed.work = static_cast<std::uint32_t>(std::clamp<std::uint64_t>(
        prompt + std::min(chat.max_tokens, most), 1, most));
    routed.model = chat.model;
    return service;
}

result<config::service_config const*>
match_service(config::document const& config, routed_request& routed,
              incoming_request const& request)
{
    auto const services = services_under(config, path_of(request.target));
    if (services.empty())
        return fail(error_kind::not_found, "no service has this path");
    if (services.front()->kind == config::service_kind::model)
        return match_chat(routed, request, services);
    auto const id = find_header(request.headers, "x-chat-id");
    routed.chat = id.empty() ? mix(routed.id.entry, routed.id.sequence)
                             : chat_hash(routed, id);
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
    routed.kind = kind_of(service, incoming.method, path_of(incoming.target));
    for (auto const& step :
         {set_deadline(routed, service, incoming),
          set_priority(routed, service, incoming), set_key(routed, incoming),
          set_resume(routed, incoming)})
    {
        if (!step)
            return boost::outcome_v2::failure(step.error());
    }
    // Requests without a body are told apart by their target: otherwise one of
    // them that is suspected would have all of them refused.
    routed.body_fingerprint =
        incoming.body->empty()
            ? fingerprint(incoming.method + ' ' + incoming.target)
            : fingerprint(*incoming.body);
    routed.headers = pass_on(routed, std::move(incoming.headers));
    routed.body = std::move(incoming.body);
    return routed;
}

} // namespace bramleyarch::services
