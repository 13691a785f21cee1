#pragma once

#include "store/objectstore.h"

#include <functional>

namespace lacewingwharf {

/** Runs on the thread that submitted a job, after the job has ended. */
using Completion = std::function<void()>;

/**
 * Blocking work on the store. It runs on the platform thread and must not
 * touch the submitter's state; the completion it returns may.
 */
using PlatformJob = std::function<Completion(const ObjectStore&)>;

/** False when the ring of jobs is full; the job is then dropped. */
using SubmitPlatformJob = std::function<bool(PlatformJob)>;

} // namespace lacewingwharf
