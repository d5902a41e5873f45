#include "programs/ctl/apply_cmd.h"
#include "programs/ctl/command_base.h"
#include "programs/ctl/job_cmd.h"
#include "programs/ctl/resource_cmd.h"
#include "programs/ctl/watch_cmd.h"

namespace mangohall {

std::vector<std::unique_ptr<Command>> makeCommands()
{
    std::vector<std::unique_ptr<Command>> commands;
    commands.push_back(std::make_unique<ApplyCommand>());
    commands.push_back(std::make_unique<DiffCommand>());
    commands.push_back(std::make_unique<ValidateCommand>());
    commands.push_back(std::make_unique<GetCommand>());
    commands.push_back(std::make_unique<DeleteCommand>());
    commands.push_back(std::make_unique<WatchCommand>());
    commands.push_back(std::make_unique<SubmitCommand>());
    commands.push_back(std::make_unique<CancelCommand>());
    commands.push_back(std::make_unique<DrainCommand>());
    commands.push_back(std::make_unique<ReportCommand>());
    return commands;
}

} // namespace mangohall
