// The program standin-platform: simulates the platform's store and some workers over loopback, for the quick start and
// the soak. Carries out the commands on its standard input, one in each line, and replies in one line each. Exits with
// 1 if the workers have seen a rule violated.
#include <csignal>

#include <iostream>
#include <string>
#include <thread>

#include "absl/strings/numbers.h"
#include "platform/platform_standin_base.h"
#include "platform/standin_command_func.h"

namespace {

// Carries out the commands on standard input until it ends.
void serveCommands(mangohall::platform::PlatformStandin& platform)
{
    std::string command;
    while (std::getline(std::cin, command)) {
        const absl::StatusOr<std::string> reply = mangohall::platform::carryOut(platform, command);
        if (reply.ok())
            std::cout << *reply << std::endl;
        else
            std::cout << "{\"error\": \"command refused\"}" << std::endl;
        if (!reply.ok())
            std::cerr << reply.status() << "\n";
    }
}

} // namespace

int main(int argc, char** argv)
{
    int port = 0;
    int workers = 0;
    constexpr int argumentCount = 3;
    if (argc != argumentCount || !absl::SimpleAtoi(argv[1], &port) || !absl::SimpleAtoi(argv[2], &workers)) {
        std::cerr << "Usage: standin-platform STORE-PORT WORKERS\n";
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    mangohall::platform::PlatformStandin platform;
    const absl::Status status = platform.start(static_cast<std::uint16_t>(port), workers);
    if (!status.ok()) {
        std::cerr << status << "\n";
        return 1;
    }
    std::cout << "{\"port\": " << platform.storePort() << "}" << std::endl;
    // Reading ends with the process, so nothing waits for the thread.
    std::thread([&platform] { serveCommands(platform); }).detach();
    int received = 0;
    sigwait(&signals, &received);
    const std::vector<std::string> violations = platform.ruleViolations();
    for (const std::string& violation : violations)
        std::cerr << "rule violated: " << violation << "\n";
    platform.stop();
    return violations.empty() ? 0 : 1;
}
