/// Choice of a server where each router admits requests itself.
///
/// All routers rank the servers of a shared prompt alike and without traffic,
/// so that its requests meet where the prompt is cached, and spill from there
/// in the same order when that server has more than its part of the load.
#pragma once

#include "common/enum_names.hpp"
#include "common/request.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace bramleyarch::decisions
{

/// A server that may be sent the request, as this router believes it to be.
struct server_option
{
    std::uint64_t hash = 0;  ///< Of its id.
    double load = 0;         ///< Requests there, of all routers.
    std::uint32_t slots = 1; ///< Requests that it works on at once.
    bool own_domain = false;
};

enum class choice_cause
{
    first_of_prompt, ///< Where the prompt's requests meet.
    spilled,         ///< Those before it have more than their part.
    least_loaded,    ///< No shared prompt, or all are over their part.
};

constexpr auto enum_names(choice_cause)
{
    using c = choice_cause;
    using row = enum_name<choice_cause>;
    return std::array{row{c::first_of_prompt, "first_of_prompt"},
                      row{c::spilled, "spilled"},
                      row{c::least_loaded, "least_loaded"}};
}

struct choice_options
{
    /// Load of a server over the mean beyond which requests of a prompt spill.
    /// Between even spread (1) and the platform's limit (2).
    double spill_factor = 1.6;
    /// Requests beyond that, so that an idle fleet does not spill at once.
    double spill_slack = 2.5;
    /// The same for prompts whose shared parts take long to read anew; up to
    /// the platform's limit.
    double long_spill_factor = 1.9;
    double long_spill_slack = 3;
    /// Shared tokens from which a prompt counts as long: some tenth of a
    /// second of a server's reading.
    std::uint32_t long_prompt_tokens = 4000;
};

struct server_choice
{
    std::size_t index = 0;
    choice_cause cause = choice_cause::least_loaded;
};

/// What requests with one prompt share.
struct shared_prompt
{
    std::uint64_t key = 0; ///< Of the last shared part.
    std::uint32_t tokens = 0;
};

/// The part by which requests with this prompt find their server: the last
/// one that others share too. Nothing when there is no shared part.
std::optional<shared_prompt>
shared_prompt_of(std::vector<prompt_part> const& prompt);

/// Place of a server in the prompt's order: the greatest weight comes first.
std::uint64_t prompt_weight(shared_prompt const& prompt, std::uint64_t server);

/// Nothing when there is no option. `mean` is the load of a server of the
/// service on average, those included that can't be sent anything now. `draw`
/// is a random number, which decides between equals.
std::optional<server_choice> choose(std::vector<server_option> const& servers,
                                    double mean,
                                    std::optional<shared_prompt> prompt,
                                    choice_options const& options,
                                    std::uint64_t draw);

} // namespace bramleyarch::decisions
