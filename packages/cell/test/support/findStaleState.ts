import { reservedSize } from '../../src/runtime/Registry.js'
import type { Registry } from '../../src/runtime/Registry.js'
import type { FakeFleet } from './FakeWorkers.js'

/**
 * Compares a decider's state with the fleet long after the last fault.
 *
 * @returns workers whose use differs from the sizes of their runs, and workers that are kept or not usable without a reason
 */
export function findStaleState (registry: Registry, fleet: FakeFleet): string[] {
  const stale: string[] = []
  for (const [id, { used, tasks, unknownRuns, isReachable }] of registry.workers) {
    const worker = fleet.workers.get(id)
    const needed = [...tasks.values()].reduce((sum, { step }) => sum + reservedSize(step.definition).cpu, 0)
    if (used.cpu !== needed) stale.push(`${id} has ${used.cpu} in use, and its runs need ${needed}`)
    if (worker === undefined) stale.push(`${id} has left and is kept with ${tasks.size} runs`)
    else if (!isReachable) stale.push(`${id} is up and counts as unreachable`)
    else if (unknownRuns > 0) stale.push(`${id} has ${unknownRuns} unknown runs`)
  }
  for (const id of fleet.workers.keys()) if (!registry.workers.has(id)) stale.push(`${id} is up and not known`)
  return stale
}
