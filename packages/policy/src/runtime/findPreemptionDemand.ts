import type { ResolvedClass } from '@rattanstep/rules'
import type { ClassState } from './ClassState.js'
import type { ClassRegistry } from './ClassRegistry.js'
import type { CapacityLimits } from './CapacityLimits.js'
import type { WorkerRegistry } from './WorkerRegistry.js'

/** Room that waiting work lacks and that tasks of lower priority may be preempted for. */
export interface PreemptionDemand {
  /** Priority of the waiting work. */
  priority: number
  /** What its rules let lower work suffer. */
  preempts: ResolvedClass['preempts']
  /** Slots to free now. */
  slots: number
}

/** Waiting asks for which one slot of short work frees itself soon enough. */
const ABSORBED_FRACTION = 0.25

/**
 * Finds how many slots of long work should be freed: what waits, less what the slots of short work take up within part
 * of a short service time, and never so many that long work is left with less than its least part.
 *
 * @param classes - books of all classes
 * @param limits - limits of their room
 * @param workers - books of all workers
 * @returns the pressure, or `null` when nothing is to be preempted
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
