// Commands on jobs.
#pragma once

#include "programs/ctl/command_base.h"

namespace mangohall {

// Submits jobs. A request key identifies a job, so a repeated submission does not create a second job.
class SubmitCommand : public Command {
public:
    absl::string_view name() const override { return "submit"; }
    absl::string_view usage() const override { return "submit -f FILE [--key K] [--organisation O] [--wait MS]"; }
    void addOptions(boost::program_options::options_description& options) const override;
    ExitCode run(const CommandLine& line, const CommandContext& context) override;
};

// Cancels a job; the exit code is Ok if the job ended as cancelled.
class CancelCommand : public Command {
public:
    absl::string_view name() const override { return "cancel"; }
    absl::string_view usage() const override { return "cancel KEY [--organisation O] [--wait MS]"; }
    void addOptions(boost::program_options::options_description& options) const override;
    ExitCode run(const CommandLine& line, const CommandContext& context) override;
};

} // namespace mangohall
