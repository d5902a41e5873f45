#include "placement/shape_count_base.h"

namespace mangohall {

void ShapeCount::add(const Shape& shape)
{
    ++m_counts[{ shape }];
}

void ShapeCount::remove(const Shape& shape)
{
    const auto count = m_counts.find({ shape });
    if (count != m_counts.end() && --count->second == 0)
        m_counts.erase(count);
}

std::vector<Shape> ShapeCount::shapes() const
{
    std::vector<Shape> shapes;
    shapes.reserve(m_counts.size());
    for (const auto& [key, count] : m_counts)
        shapes.push_back(key.shape);
    return shapes;
}

} // namespace mangohall
