import type { ResolvedClass } from '@rattanstep/rules'
import type { ClassState } from './ClassState.js'
import type { ClassRegistry } from './ClassRegistry.js'
import type { CapacityLimits } from './CapacityLimits.js'
import type { WorkerRegistry } from './WorkerRegistry.js'

/** Capacity that waiting work lacks and that tasks of lower priority may be preempted for. */
export interface PreemptionDemand {
  /** Priority of the waiting work. */
  priority: number
  /** Strongest preemption of lower work that its class allows. */
  preempts: ResolvedClass['preempts']
  /** Number of slots to free now. */
  slots: number
}

/** Number of waiting asks that each slot of short work is expected to serve soon, without preemption. */
const ABSORBED_FRACTION = 0.25

/**
 * Computes how many slots of long work should be freed: the number of waiting asks, less those that slots of short work
 * will serve within a fraction of a short service time. Long work always keeps its minimum share.
 *
 * @param classes - states of all classes
 * @param limits - limits of their capacity
 * @param workers - states of all workers
 * @returns the demand, or `null` when nothing is to be preempted
 */
export function findPreemptionDemand (classes: ClassRegistry, limits: CapacityLimits, workers: WorkerRegistry): PreemptionDemand | null {
  let waiting = 0
  let highest: ClassState | null = null
  for (const classState of classes.all()) {
    if (classState.rule.preempts === 'nothing' || classState.queue.size === 0) continue
    waiting += classState.queue.size
    if (highest === null || classState.rule.priority > highest.rule.priority) highest = classState
  }
  if (highest === null) return null
  const absorbed = Math.floor((workers.slots - classes.longSlots) * ABSORBED_FRACTION)
  const preemptibleSlots = classes.longSlots - limits.minLongSlots(workers.slots)
  const slots = Math.min(waiting - absorbed, preemptibleSlots)
  if (slots <= 0) return null
  return { priority: highest.rule.priority, preempts: highest.rule.preempts, slots }
}
