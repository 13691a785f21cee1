#pragma once

#include "store/objectstore.h"

#include <functional>

namespace lacewingwharf {

/** Runs on the thread that submitted the job, after the job has finished. */
using Completion = std::function<void()>;

/**
 * Blocking work on the store. It runs on the platform thread and must not
 * access the state of the submitting thread. The completion that it returns
 * runs on that thread and may do so.
 */
using PlatformJob = std::function<Completion(const ObjectStore&)>;

/**
 * Submits a job to the platform thread. Returns false and drops the job if the
 * queue is full.
 */
using SubmitPlatformJob = std::function<bool(PlatformJob)>;

} // namespace lacewingwharf
