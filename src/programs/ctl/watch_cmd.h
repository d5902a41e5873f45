// Command that follows the changes of a kind.
#pragma once

#include "programs/ctl/command_base.h"

namespace mangohall {

// Prints the resources of a kind and then each change as a JSON line, until it is interrupted or has printed --count
// lines.
class WatchCommand : public Command {
public:
    absl::string_view name() const override { return "watch"; }
    absl::string_view usage() const override { return "watch KIND [--revision N] [--count N]"; }
    void addOptions(boost::program_options::options_description& options) const override;
    ExitCode run(const CommandLine& line, const CommandContext& context) override;
};

} // namespace mangohall
