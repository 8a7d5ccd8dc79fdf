// Min-heap of deadlines, each with the id of the record that waits for it.
//
// Entries are not removed when their record ends. The user of the heap ignores
// ids of ended records and calls compact periodically.
#ifndef ORIOLEDOOR_REQUESTS_TIMER_HEAP_H
#define ORIOLEDOOR_REQUESTS_TIMER_HEAP_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "orioledoor/base/instant.h"

namespace orioledoor::requests {

// Not thread-safe.
class TimerHeap {
public:
  // Logarithmic.
  void push(Instant At, std::uint64_t Id) {
    this->Heap.emplace_back(At, Id);
    std::ranges::push_heap(this->Heap, std::greater<>());
  }

  // Removes and returns the earliest entry with a time <= Now. Logarithmic.
  std::optional<std::uint64_t> popDue(Instant Now) {
    if (this->Heap.empty() || this->Heap.front().first > Now)
      return std::nullopt;
    std::ranges::pop_heap(this->Heap, std::greater<>());
    std::uint64_t Id = this->Heap.back().second;
    this->Heap.pop_back();
    return Id;
  }

  std::optional<Instant> next() const {
    if (this->Heap.empty())
      return std::nullopt;
    return this->Heap.front().first;
  }

  // Removes the entries of ended records if they are the majority. Amortized
  // constant per push.
  template <typename Predicate>
  void compact(std::size_t LiveRecords, const Predicate &IsLive) {
    // A live record has at most two entries: its deadline and a retry.
    if (this->Heap.size() < 4 * LiveRecords + 1024)
      return;
    std::erase_if(this->Heap, [&IsLive](const auto &Entry) {
      return !IsLive(Entry.second);
    });
    std::ranges::make_heap(this->Heap, std::greater<>());
  }

private:
  std::vector<std::pair<Instant, std::uint64_t>> Heap;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_TIMER_HEAP_H
