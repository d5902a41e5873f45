// mangohallctl, the client of operators and callers.
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "absl/time/clock.h"
#include "adapters/http/curl_http_client_base.h"
#include "adapters/runtime/system_clock_base.h"
#include "core/seeded_random_base.h"
#include "programs/ctl/client_func.h"

namespace {

class SleepingPause : public mangohall::Pause {
public:
    void pauseFor(absl::Duration duration) override { absl::SleepFor(duration); }
};

} // namespace

int main(int count, char** values)
{
    const std::vector<std::string> words(values + 1, values + count);
    const mangohall::SystemClock clock;
    mangohall::CurlHttpClient http(clock, {});
    mangohall::SeededRandom random(std::random_device {}());
    SleepingPause pause;
    return static_cast<int>(mangohall::runClient(words, { http, random, pause, std::cout, std::cerr }));
}
