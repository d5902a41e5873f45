// One node that owns a large site: how much processor time its decisions take for each second of the site's load.
#include <ctime>
#include <iostream>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "batch/batch_cluster_base.h"

namespace mangohall::batch {
namespace {

constexpr int workersPerRack = 8;
constexpr absl::Duration loadTime = absl::Seconds(30);
constexpr absl::Duration submitPeriod = absl::Milliseconds(20);

// A large site, and what it is handed each second. Smaller ones get their share.
constexpr int siteWorkers = 350;
constexpr double urgentGangs = 8.8;
constexpr double batchGangs = 1.65;
constexpr double wideSteps = 2.5;

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

class Load {
public:
    Load(int workers, double pressure)
        : m_pressure(pressure * workers / siteWorkers)
        , m_cluster(1)
    {
        m_cluster.workers().setRunTime("urgent", absl::Milliseconds(2500));
        m_cluster.workers().setRunTime("batch", absl::Milliseconds(11000));
        m_cluster.workers().setRunTime("wide", absl::Milliseconds(6100));
        for (int worker = 0; worker < workers; ++worker) {
            m_cluster.workers().add(absl::StrFormat("i-%08x", worker), absl::StrCat("rack", worker / workersPerRack),
                { 128000, 1 << 30, 8 });
        }
        m_cluster.runFor(absl::Seconds(3));
    }

    void play()
    {
        const absl::Time end = m_cluster.timeline().now() + loadTime;
        while (m_cluster.timeline().now() < end) {
            submitDue();
            m_cluster.runFor(submitPeriod);
        }
    }

    std::size_t starts() { return m_cluster.workers().recordedRuns().size(); }

private:
    void submitDue()
    {
        const double share = absl::ToDoubleSeconds(submitPeriod) * m_pressure;
        JobSpec gang = gangOf("urgent", 4, sizes[m_jobs % std::size(sizes)], absl::Milliseconds(2500));
        submit(m_urgent, share * urgentGangs, "/urgent/", gang);
        gang = gangOf("batch", 9, sizes[m_jobs % std::size(sizes)], absl::Milliseconds(11000));
        submit(m_batch, share * batchGangs, "/batch/", gang);
        submit(m_wide, share * wideSteps, "/batch/", tasksOf("wide", 39, 1, absl::Milliseconds(6100)));
    }

    void submit(double& owed, double share, const std::string& path, const JobSpec& spec)
    {
        for (owed += share; owed >= 1; owed -= 1)
            m_cluster.submit(0, absl::StrCat(path, absl::StrFormat("%016x", ++m_jobs)), spec);
    }

    static constexpr int sizes[] = { 1, 2, 4, 8, 8 };
    const double m_pressure;
    BatchCluster m_cluster;
    double m_urgent = 0;
    double m_batch = 0;
    double m_wide = 0;
    int m_jobs = 0;
};

void measure(int workers, double pressure)
{
    Load load(workers, pressure);
    const double before = processorSeconds();
    load.play();
    const double used = processorSeconds() - before;
    std::cout << absl::StrFormat(
        "{\"figure\":\"processorSecondsPerSecond\",\"workers\":%d,\"pressure\":%.2f,\"value\":%.4f,\"starts\":%d}\n",
        workers, pressure, used / absl::ToDoubleSeconds(loadTime), load.starts());
}

} // namespace
} // namespace mangohall::batch

// With two arguments, a number of workers and a pressure, only these are measured.
int main(int argc, char** argv)
{
    int workers = 0;
    double pressure = 0;
    if (argc == 3 && absl::SimpleAtoi(argv[1], &workers) && absl::SimpleAtod(argv[2], &pressure)) {
        mangohall::batch::measure(workers, pressure);
        return 0;
    }
    for (const int size : { 50, 100, 200, 350 })
        mangohall::batch::measure(size, 1);
    // A large site under more load than it can serve.
    for (const double more : { 1.6, 2.5, 4.0 })
        mangohall::batch::measure(mangohall::batch::siteWorkers, more);
    return 0;
}
