#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <iterator>
#include <memory>
#include <vector>

#include "absl/container/btree_map.h"
#include "batch/job/task_progress_type.h"

namespace mangohall::batch {

// The progress of the tasks of one step. Only tasks of which more is known than that they were never placed, or that
// they are done, take memory of their own, so that a step of many tasks that wait takes little. Not thread-safe.
class TaskList {
public:
    // Iterates over all tasks in the order of their indices.
    class Iterator {
    public:
        using iterator_category = std::input_iterator_tag;
        using value_type = TaskProgress;
        using difference_type = std::ptrdiff_t;
        using pointer = const TaskProgress*;
        using reference = const TaskProgress&;

        Iterator(const TaskList& tasks, std::size_t index)
            : m_tasks(&tasks)
            , m_index(index)
        {
        }
        const TaskProgress& operator*() const { return (*m_tasks)[m_index]; }
        Iterator& operator++()
        {
            ++m_index;
            return *this;
        }
        Iterator operator++(int)
        {
            Iterator former = *this;
            ++m_index;
            return former;
        }
        friend bool operator==(const Iterator& left, const Iterator& right) { return left.m_index == right.m_index; }

    private:
        const TaskList* m_tasks;
        std::size_t m_index;
    };
    // The tasks that have memory of their own, by index.
    using Entries = absl::btree_map<std::int32_t, TaskProgress>;

    // A step of this many tasks, none of which was ever placed.
    explicit TaskList(std::size_t count = 0)
        : m_count(static_cast<std::int32_t>(count))
    {
    }
    // Not explicit: a list of given tasks.
    TaskList(std::initializer_list<TaskProgress> tasks)
    {
        for (const TaskProgress& task : tasks)
            push_back(task);
    }
    TaskList(const TaskList& other);
    TaskList& operator=(const TaskList& other);
    TaskList(TaskList&&) = default;
    TaskList& operator=(TaskList&&) = default;
    ~TaskList() = default;

    std::size_t size() const { return static_cast<std::size_t>(m_count); }
    Iterator begin() const { return { *this, 0 }; }
    Iterator end() const { return { *this, size() }; }
    const TaskProgress& operator[](std::size_t index) const;

    // The task for a change; it takes memory of its own from now on.
    TaskProgress& edit(std::size_t index);
    // Appends a task. The name is that of the standard containers.
    // NOLINTNEXTLINE(readability-identifier-naming)
    void push_back(const TaskProgress& task);

    // The tasks that have memory of their own. All others are done and not open, or were never placed.
    const Entries& entries() const;
    // Whether every task is done.
    bool isDone() const;

    friend bool operator==(const TaskList& left, const TaskList& right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end());
    }

private:
    struct Details {
        Entries entries;
        // Whether each task without an entry is done; empty if none is.
        std::vector<bool> isDone;
    };

    Details& details();

    std::int32_t m_count = 0;
    // Null while no task was ever placed.
    std::unique_ptr<Details> m_details;
};

} // namespace mangohall::batch
