// Implements PipeNotifier with an eventfd and a list guarded by a mutex.
#include "orioledoor/wire/internal/pipe_notifier.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <utility>

namespace orioledoor::wire::internal {

PipeNotifier::PipeNotifier()
    : Descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

PipeNotifier::~PipeNotifier() {
  if (this->Descriptor >= 0)
    close(this->Descriptor);
}

void PipeNotifier::report(PipeChange Change) {
  {
    std::lock_guard Lock(this->Mutex);
    this->Changes.push_back(Change);
  }
  eventfd_write(this->Descriptor, 1);
}

std::vector<PipeChange> PipeNotifier::takeChanges() {
  eventfd_t Count = 0;
  eventfd_read(this->Descriptor, &Count);
  std::lock_guard Lock(this->Mutex);
  return std::exchange(this->Changes, {});
}

} // namespace orioledoor::wire::internal
