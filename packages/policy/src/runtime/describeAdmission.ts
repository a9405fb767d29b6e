import type { AdmissionStatus, ClassStatus, WorkerStatus } from '../types/status.js'
import type { ClassState } from './ClassState.js'
import type { ClassRegistry } from './ClassRegistry.js'
import type { Quarantine } from './Quarantine.js'
import type { CapacityLimits } from './CapacityLimits.js'
import type { RunTimes } from './RunTimes.js'
import type { WorkerState } from './WorkerState.js'
import type { WorkerRegistry } from './WorkerRegistry.js'

/** Components whose state is described. */
export interface StatusSources {
  workers: WorkerRegistry
  classes: ClassRegistry
  limits: CapacityLimits
  quarantine: Quarantine
  runTimes: RunTimes
}

/**
 * Describes the classes and workers of one owner for operators.
 *
 * @param sources - components of the owner's admission
 * @param now - monotonic time in ms
 * @returns the status as plain data
 */
export function describeAdmission (sources: StatusSources, now: number): AdmissionStatus {
  const classes = [...sources.classes.all()].map(classState => describeClass(sources, classState, now))
  const workers = [...sources.workers.all()].map(workerState => describeWorker(sources, workerState))
  return { classes, workers }
}

function describeClass (sources: StatusSources, classState: ClassState, now: number): ClassStatus {
  const { rule, queue } = classState
  const oldest = queue.oldest()
  return {
    name: rule.name,
    priority: sources.classes.priority(classState, now),
    waiting: queue.size,
    oldest: oldest === null ? 0 : now - oldest.queuedAt,
    inUse: classState.inUse,
    reserve: sources.limits.reserve(classState, sources.workers.slots),
    meanTime: sources.classes.meanRunTime(classState),
    p99Time: sources.runTimes.quantile(rule.name, 0.99, rule.expected),
    long: sources.classes.isLong(classState)
  }
}

function describeWorker (sources: StatusSources, workerState: WorkerState): WorkerStatus {
  const { id, resources } = workerState.description
  return {
    id,
    total: resources,
    used: workerState.used,
    unknown: workerState.unknown,
    permits: workerState.permits,
    holds: workerState.holds,
    state: stateOf(workerState),
    quarantinedSince: sources.quarantine.getUnhealthySince(id),
    slowness: sources.runTimes.getSlowness(id)
  }
}

function stateOf (workerState: WorkerState): WorkerStatus['state'] {
  if (workerState.removed) return 'removed'
  if (workerState.draining) return 'draining'
  return workerState.quarantined ? 'quarantined' : 'usable'
}
