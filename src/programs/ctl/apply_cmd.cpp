#include "programs/ctl/apply_cmd.h"

#include "programs/ctl/current_state_func.h"
#include "programs/ctl/declaration_func.h"
#include "programs/ctl/plan_func.h"

namespace mangohall {

namespace {

// Executes the steps in order. Stops at the first failure, because later resources may refer to the failed one.
ExitCode applyPlan(const CommandContext& context, const Plan& plan)
{
    for (const PlanStep& step : plan) {
        context.out << describeStep(step) << "\n";
        if (step.action == PlanAction::Unchanged)
            continue;
        const EntryReply reply = writeStep(context, step);
        if (!reply.isSuccess()) {
            context.errors << describeStep(step) << ": " << reply.describe() << "\n";
            return exitCodeOf(reply);
        }
    }
    return ExitCode::Ok;
}

// Prints the plan; with `isDetailed`, only the changes, with their fields.
ExitCode showPlan(const CommandContext& context, const Plan& plan, bool isDetailed)
{
    for (const PlanStep& step : plan) {
        if (isDetailed && step.action == PlanAction::Unchanged)
            continue;
        context.out << describeStep(step) << "\n";
        if (isDetailed)
            context.out << describeFields(step);
    }
    return hasChanges(plan) ? ExitCode::Differences : ExitCode::Ok;
}

enum class Mode {
    Apply,
    DryRun,
    Diff,
};

ExitCode planAndRun(const Command& command, const CommandLine& line, const CommandContext& context, Mode mode)
{
    if (!line.has("file") || !line.arguments.empty())
        return failUsage(context, command);
    const absl::StatusOr<std::vector<Declaration>> declared = readDeclarations(line.text("file"));
    if (!declared.ok())
        return failInput(context, declared.status());
    const CurrentState current = readCurrentState(context, *declared);
    if (!current.isComplete)
        return reportReply(context, current.failure);
    const Plan plan = makePlan(*declared, current.objects);
    if (mode == Mode::Apply)
        return applyPlan(context, plan);
    return showPlan(context, plan, mode == Mode::Diff);
}

void addFileOption(boost::program_options::options_description& options)
{
    options.add_options()("file,f", boost::program_options::value<std::string>(), "file or directory of declarations");
}

} // namespace

void ApplyCommand::addOptions(boost::program_options::options_description& options) const
{
    addFileOption(options);
    options.add_options()("dry-run", "print the plan and change nothing");
}

ExitCode ApplyCommand::run(const CommandLine& line, const CommandContext& context)
{
    return planAndRun(*this, line, context, line.has("dry-run") ? Mode::DryRun : Mode::Apply);
}

void DiffCommand::addOptions(boost::program_options::options_description& options) const
{
    addFileOption(options);
}

ExitCode DiffCommand::run(const CommandLine& line, const CommandContext& context)
{
    return planAndRun(*this, line, context, Mode::Diff);
}

void ValidateCommand::addOptions(boost::program_options::options_description& options) const
{
    addFileOption(options);
}

ExitCode ValidateCommand::run(const CommandLine& line, const CommandContext& context)
{
    if (!line.has("file") || !line.arguments.empty())
        return failUsage(context, *this);
    const absl::StatusOr<std::vector<Declaration>> declared = readDeclarations(line.text("file"));
    if (!declared.ok())
        return failInput(context, declared.status());
    context.out << declared->size() << " declarations are valid\n";
    return ExitCode::Ok;
}

} // namespace mangohall
