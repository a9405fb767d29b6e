import { fitsResources, subtractResources } from '@rattanstep/core'
import type { Resources } from '@rattanstep/core'

/** A worker with the room it has left. */
export interface OpenWorker {
  id: string
  /** What it holds in all. */
  total: Resources
  free: Resources
  rack: string
}

/** One task on one worker. */
export interface Placement {
  /** Position of the task in the list given. */
  index: number
  worker: string
}

/** What to pack and where. */
export interface PackOptions {
  tasks: Resources[]
  workers: OpenWorker[]
  /** Most tasks in one rack; without it racks do not matter. */
  mostInRack?: number
}

/**
 * Packs tasks by best fit, largest first: each goes to the worker whose scarcest resource is left with the least.
 *
 * @param options - tasks and workers
 * @returns placements of the tasks that fit; those that do not are left out
 */
export function packTasks (options: PackOptions): Placement[] {
  const room = options.workers.map(worker => ({ worker, free: worker.free }))
  const racks = new Map<string, number>()
  const most = options.mostInRack ?? Infinity
  const placements: Placement[] = []
  for (const index of largestFirst(options.tasks, options.workers)) {
    const task = options.tasks[index]!
    let best: { worker: OpenWorker, free: Resources } | null = null
    let least = Infinity
    for (const candidate of room) {
      if (!fitsResources(task, candidate.free) || (racks.get(candidate.worker.rack) ?? 0) >= most) continue
      const left = leftover(subtractResources(candidate.free, task), candidate.worker.total)
      if (left >= least) continue
      best = candidate
      least = left
    }
    if (best === null) continue
    best.free = subtractResources(best.free, task)
    racks.set(best.worker.rack, (racks.get(best.worker.rack) ?? 0) + 1)
    placements.push({ index, worker: best.worker.id })
  }
  return placements
}

function largestFirst (tasks: Resources[], workers: OpenWorker[]): number[] {
  const total = workers[0]?.total
  const sizes = tasks.map(task => total === undefined ? 0 : largestPart(task, total))
  return tasks.map((_, index) => index).sort((a, b) => sizes[b]! - sizes[a]! || a - b)
}

function largestPart (need: Resources, total: Resources): number {
  return Math.max(
    part(need.slots, total.slots),
    part(need.cores, total.cores),
    part(need.memory, total.memory),
    part(need.accelerators, total.accelerators)
  )
}

/** Sum of the parts left in each dimension, so that a worker with matching proportions is preferred. */
function leftover (free: Resources, total: Resources): number {
  return part(free.slots, total.slots) + part(free.cores, total.cores) +
    part(free.memory, total.memory) + part(free.accelerators, total.accelerators)
}

function part (amount: number, total: number): number {
  return total > 0 ? amount / total : 0
}
