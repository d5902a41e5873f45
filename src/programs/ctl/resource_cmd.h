// Commands that act on single resources or print them.
#pragma once

#include "programs/ctl/command_base.h"

namespace mangohall {

// Prints a resource, all resources of a kind, a view of the system's state, or a job.
class GetCommand : public Command {
public:
    absl::string_view name() const override { return "get"; }
    absl::string_view usage() const override { return "get KIND [NAME] [--declared] [--organisation O] [--wait MS]"; }
    void addOptions(boost::program_options::options_description& options) const override;
    ExitCode run(const CommandLine& line, const CommandContext& context) override;
};

// Deletes a resource.
class DeleteCommand : public Command {
public:
    absl::string_view name() const override { return "delete"; }
    absl::string_view usage() const override { return "delete KIND NAME [--revision N]"; }
    void addOptions(boost::program_options::options_description& options) const override;
    ExitCode run(const CommandLine& line, const CommandContext& context) override;
};

// Declares a drain, so that a worker, rack or data centre gets no new work, or deletes the drain.
class DrainCommand : public Command {
public:
    absl::string_view name() const override { return "drain"; }
    absl::string_view usage() const override { return "drain worker|rack|dataCentre NAME [--undo]"; }
    void addOptions(boost::program_options::options_description& options) const override;
    ExitCode run(const CommandLine& line, const CommandContext& context) override;
};

// Prints a report as a table, JSON or HTML.
class ReportCommand : public Command {
public:
    absl::string_view name() const override { return "report"; }
    absl::string_view usage() const override { return "report burn|fragmentation [--html]"; }
    void addOptions(boost::program_options::options_description& options) const override;
    ExitCode run(const CommandLine& line, const CommandContext& context) override;
};

} // namespace mangohall
