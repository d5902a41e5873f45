#include "programs/ctl/watch_cmd.h"

#include <cstdint>

#include "programs/ctl/watch_follower_base.h"

namespace mangohall {

namespace po = boost::program_options;

void WatchCommand::addOptions(po::options_description& options) const
{
    options.add_options()("revision", po::value<Revision>(), "follow from this revision, without a list first");
    options.add_options()(
        "count", po::value<std::uint64_t>()->default_value(0), "exit after this many lines; 0 for no limit");
}

ExitCode WatchCommand::run(const CommandLine& line, const CommandContext& context)
{
    if (line.arguments.size() != 1)
        return failUsage(context, *this);
    absl::optional<Revision> revision;
    if (line.has("revision"))
        revision = line.options["revision"].as<Revision>();
    WatchFollower follower(context, line.arguments[0], line.options["count"].as<std::uint64_t>());
    return follower.follow(revision);
}

} // namespace mangohall
