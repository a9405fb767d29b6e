import { addResources, fitsResources, NO_RESOURCES, subtractResources } from '@rattanstep/core'
import type { Instance, Resources } from '@rattanstep/core'
import type { JobKind } from '../types/job.js'

/**
 * Finds out whether tasks could never run, even on an empty cell.
 *
 * @param kind - kind of the job
 * @param needs - resources of each task
 * @param cell - all known workers; when empty, no task counts as unschedulable
 * @returns why the tasks can never run, or `null` when they may run
 */
export function findUnschedulableReason (kind: JobKind, needs: Resources[], cell: Instance[]): string | null {
  const workers = cell.filter(instance => instance.role === 'worker').map(instance => instance.resources)
  if (workers.length === 0) return null
  for (const [index, need] of needs.entries()) {
    if (workers.some(resources => fitsResources(need, resources))) continue
    return `task ${index} needs ${format(need)} and no worker is that large; ask for less or add larger workers`
  }
  if (kind !== 'gang') return null
  const total = workers.reduce(addResources, NO_RESOURCES)
  const need = needs.reduce(addResources, NO_RESOURCES)
  if (!fitsResources(need, total)) return `the gang needs ${format(need)} at once and the whole cell holds ${format(total)}; make it smaller or add workers`
  if (areEqual(needs) && countFitting(needs[0]!, workers, needs.length) < needs.length) {
    return `the gang has ${needs.length} tasks of ${format(needs[0]!)} and the empty cell has room for fewer; make it smaller or add workers`
  }
  return null
}

function countFitting (need: Resources, workers: Resources[], limit: number): number {
  let count = 0
  for (const worker of workers) {
    let free = worker
    while (count < limit && fitsResources(need, free)) {
      free = subtractResources(free, need)
      count++
    }
  }
  return count
}

function areEqual (needs: Resources[]): boolean {
  return needs.every(need => format(need) === format(needs[0]!))
}

function format (need: Resources): string {
  return `${need.slots} slots, ${need.cores} cores, ${need.memory} MiB, ${need.accelerators} accelerators`
}
