// Commands that take files of declarations.
#pragma once

#include "programs/ctl/command_base.h"

namespace mangohall {

// Creates and changes resources until they match the files. Resources that are not declared are left alone. A second
// run changes nothing.
class ApplyCommand : public Command {
public:
    absl::string_view name() const override { return "apply"; }
    absl::string_view usage() const override { return "apply -f DIR|FILE [--dry-run]"; }
    void addOptions(boost::program_options::options_description& options) const override;
    ExitCode run(const CommandLine& line, const CommandContext& context) override;
};

// Prints the fields in which the stored resources differ from the files; the exit code is Differences if any do.
class DiffCommand : public Command {
public:
    absl::string_view name() const override { return "diff"; }
    absl::string_view usage() const override { return "diff -f DIR|FILE"; }
    void addOptions(boost::program_options::options_description& options) const override;
    ExitCode run(const CommandLine& line, const CommandContext& context) override;
};

// Checks files without sending a request.
class ValidateCommand : public Command {
public:
    absl::string_view name() const override { return "validate"; }
    absl::string_view usage() const override { return "validate -f DIR|FILE"; }
    void addOptions(boost::program_options::options_description& options) const override;
    bool isOffline() const override { return true; }
    ExitCode run(const CommandLine& line, const CommandContext& context) override;
};

} // namespace mangohall
