// Checks what operators read against the answers that they received before.
#pragma once

#include "absl/types/optional.h"
#include "fuzz/observed_history_type.h"

namespace mangohall {

// A simple reference model of the declared organisations, built from the operators' requests and answers.
class ConfigOracle {
public:
    explicit ConfigOracle(const ObservedHistory& observed);

    // Checks that reads never go back to an older revision and that conditional changes were accepted only at the
    // revision that they expected.
    Findings check() const;
    // Checks that each organisation in the list read at the entry is the newest accepted change and is active.
    Findings checkFinal(const std::string& entry, const ConfigListAnswer& read) const;

private:
    // A change that was accepted, or is requested.
    struct Accepted {
        // The revision at which it was accepted.
        Revision revision = 0;
        // The declared weight, empty for a deletion.
        absl::optional<int> weight;
        // The revision that the change was conditional on, empty if it was unconditional.
        absl::optional<Revision> expected;
    };

    // The changes of one organisation that operators know of.
    struct History {
        std::map<Revision, Accepted> accepted;
        // Whether there is a change for which no answer says whether it was accepted.
        bool hasUnknown = false;
    };

    void recordCaller(const CallerLog& log);
    void recordChange(const std::string& name, const CallerLog& log, const Accepted& requested);
    void checkReads(Findings& findings) const;
    void checkExpected(const std::string& name, const History& history, Findings& findings) const;

    const ObservedHistory& m_observed;
    // The history of each organisation by its name.
    std::map<std::string, History> m_names;
};

} // namespace mangohall
