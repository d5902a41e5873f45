// Main program of mangohallctl, the command-line client for operators and callers.
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "adapters/http/curl_http_client_base.h"
#include "adapters/runtime/system_clock_base.h"
#include "core/seeded_random_base.h"
#include "programs/ctl/client_func.h"

int main(int count, char** values)
{
    const std::vector<std::string> words(values + 1, values + count);
    mangohall::SystemClock clock;
    mangohall::CurlHttpClient http(clock, {});
    mangohall::SeededRandom random(std::random_device {}());
    return static_cast<int>(mangohall::runClient(words, { http, random, clock, std::cout, std::cerr }));
}
