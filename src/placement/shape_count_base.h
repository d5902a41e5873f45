// Counts the shapes of waiting requests.
#pragma once

#include <vector>

#include "absl/container/flat_hash_map.h"
#include "job/job_type.h"

namespace mangohall {

// A multiset of shapes: the number of requests of each shape.
class ShapeCount {
public:
    void add(const Shape& shape);
    // Does nothing if the shape is not counted.
    void remove(const Shape& shape);
    // The distinct shapes, in no particular order.
    std::vector<Shape> shapes() const;

private:
    // Makes a shape hashable.
    struct Key {
        Shape shape;

        friend bool operator==(const Key&, const Key&) = default;
        template <typename H> friend H AbslHashValue(H state, const Key& key)
        {
            return H::combine(std::move(state), key.shape.tasks, key.shape.acceleratorsPerTask, key.shape.adjacency);
        }
    };

    absl::flat_hash_map<Key, int> m_counts;
};

} // namespace mangohall
