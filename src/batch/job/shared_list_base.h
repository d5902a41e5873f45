#pragma once

#include <algorithm>
#include <cstddef>
#include <initializer_list>
#include <memory>
#include <utility>
#include <vector>

namespace mangohall::batch {

// The elements of a list that is built once and then copied often. Copies share the elements until one of them is
// changed. Copies may be used on different threads.
template <typename Element> class SharedList {
public:
    using value_type = Element;

    SharedList() = default;
    SharedList(std::initializer_list<Element> elements)
        : SharedList(std::vector<Element>(elements))
    {
    }
    // Not explicit: a list is built as a vector.
    SharedList(std::vector<Element> elements)
        : m_elements(std::make_shared<std::vector<Element>>(std::move(elements)))
    {
    }

    bool empty() const { return m_elements == nullptr || m_elements->empty(); }
    std::size_t size() const { return m_elements == nullptr ? 0 : m_elements->size(); }
    const Element& operator[](std::size_t position) const { return (*m_elements)[position]; }
    const Element& front() const { return m_elements->front(); }
    const Element& back() const { return m_elements->back(); }
    const Element* begin() const { return m_elements == nullptr ? nullptr : m_elements->data(); }
    const Element* end() const { return begin() + size(); }

    // Change the list, which has elements of its own from now on. The names are those of the standard containers.
    // NOLINTNEXTLINE(readability-identifier-naming)
    void push_back(Element element) { edit().push_back(std::move(element)); }
    Element& front() { return edit().front(); }
    Element& back() { return edit().back(); }
    // The elements for any other change.
    std::vector<Element>& edit()
    {
        if (m_elements == nullptr)
            m_elements = std::make_shared<std::vector<Element>>();
        else if (m_elements.use_count() > 1)
            m_elements = std::make_shared<std::vector<Element>>(*m_elements);
        return *m_elements;
    }

    friend bool operator==(const SharedList& left, const SharedList& right)
    {
        return left.m_elements == right.m_elements || std::equal(left.begin(), left.end(), right.begin(), right.end());
    }

private:
    // Null for an empty list that was never changed.
    std::shared_ptr<std::vector<Element>> m_elements;
};

} // namespace mangohall::batch
