#pragma once

#include <memory>
#include <utility>

namespace mangohall::batch {

// A value that is the default one in most objects, where it takes no more memory than a pointer.
template <typename Value> class Rare {
public:
    Rare() = default;
    // Not explicit: it stands for the value.
    Rare(Value value)
        : m_value(value == Value() ? nullptr : std::make_unique<Value>(std::move(value)))
    {
    }
    Rare(const Rare& other)
        : m_value(other.m_value == nullptr ? nullptr : std::make_unique<Value>(*other.m_value))
    {
    }
    Rare(Rare&&) noexcept = default;
    Rare& operator=(const Rare& other)
    {
        if (this != &other)
            *this = Rare(other);
        return *this;
    }
    Rare& operator=(Rare&&) noexcept = default;
    Rare& operator=(Value value)
    {
        *this = Rare(std::move(value));
        return *this;
    }
    ~Rare() = default;

    const Value& get() const
    {
        static const Value usual;
        return m_value == nullptr ? usual : *m_value;
    }
    const Value* operator->() const { return &get(); }

    friend bool operator==(const Rare& left, const Rare& right) { return left.get() == right.get(); }

private:
    // Null for the default value.
    std::unique_ptr<Value> m_value;
};

} // namespace mangohall::batch
