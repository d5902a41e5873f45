// Main program of an entry, which serves callers and operators over HTTP.
#include "programs/entry/entry_process_base.h"
#include "programs/server/server_program_func.h"

namespace {

std::unique_ptr<mangohall::ServerProcess> makeProcess(const mangohall::Settings& settings)
{
    return std::make_unique<mangohall::EntryProcess>(settings);
}

} // namespace

int main(int argc, char** argv)
{
    const mangohall::ServerProgram program { "mangohall-entry", mangohall::NodeRole::Entry, makeProcess };
    return mangohall::runServerProgram({ argv, static_cast<std::size_t>(argc) }, program);
}
