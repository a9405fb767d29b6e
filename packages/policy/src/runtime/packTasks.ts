import { fitsResources, subtractResources } from '@rattanstep/core'
import type { Resources } from '@rattanstep/core'

/** A worker with its free resources. */
export interface AvailableWorker {
  id: string
  /** Its resources when empty. */
  total: Resources
  free: Resources
  rack: string
}

/** The worker chosen for one task. */
export interface Placement {
  /** Index of the task in the given list. */
  index: number
  worker: string
}

/** Options of `packTasks`. */
export interface PackOptions {
  tasks: Resources[]
  workers: AvailableWorker[]
  /** Maximum number of tasks in one rack; unlimited by default. */
  maxPerRack?: number
}

/**
 * Strides through the tasks that give further orders to try. A stride that divides the number of tasks is skipped: these
 * strides are primes, so any other one visits every task once.
 */
const STRIDES = [3, 7, 11, 13, 17, 19, 23]

/**
 * Packs tasks by first fit into the fullest workers. Several orders are tried: as given, largest first, large and small
 * alternating, and some that mix the sizes. The result that places the most tasks on the fewest workers is used. Mixed
 * orders leave less of one resource idle than largest first, since slots, cores and memory run out together.
 *
 * @param options - tasks and workers; sizes are compared as fractions of the first worker's total resources
 * @returns placements of the tasks that fit; tasks that do not fit are left out
 */
export function packTasks (options: PackOptions): Placement[] {
  const total = options.workers[0]?.total
  if (total === undefined) return []
  const workers = fullestFirst(options.workers, total)
  let best: Placement[] = []
  let bestWorkerCount = Infinity
  for (const order of orders(options.tasks, total)) {
    const placements = firstFit(options, workers, order)
    const workerCount = new Set(placements.map(placement => placement.worker)).size
    if (placements.length < best.length || (placements.length === best.length && workerCount >= bestWorkerCount)) continue
    best = placements
    bestWorkerCount = workerCount
  }
  return best
}

function firstFit (options: PackOptions, workers: AvailableWorker[], order: number[]): Placement[] {
  const free = workers.map(worker => worker.free)
  const racks = new Map<string, number>()
  const maxPerRack = options.maxPerRack ?? Infinity
  const placements: Placement[] = []
  for (const index of order) {
    const task = options.tasks[index]!
    const found = workers.findIndex((worker, workerIndex) => fitsResources(task, free[workerIndex]!) && (racks.get(worker.rack) ?? 0) < maxPerRack)
    if (found < 0) continue
    const { id, rack } = workers[found]!
    free[found] = subtractResources(free[found]!, task)
    racks.set(rack, (racks.get(rack) ?? 0) + 1)
    placements.push({ index, worker: id })
  }
  return placements
}

function orders (tasks: Resources[], total: Resources): number[][] {
  const given = [...tasks.keys()]
  const sizes = tasks.map(task => relativeSize(task, total))
  if (sizes.every(value => value === sizes[0])) return [given]
  const largest = [...given].sort((a, b) => sizes[b]! - sizes[a]!)
  const mixed = STRIDES.filter(stride => tasks.length % stride !== 0).map(stride => given.map(index => given[index * stride % tasks.length]!))
  return [given, largest, alternateLargeAndSmall(largest), ...mixed]
}

function alternateLargeAndSmall (sorted: number[]): number[] {
  const half = Math.ceil(sorted.length / 2)
  const small = sorted.slice(half).reverse()
  return sorted.slice(0, half).flatMap((index, position) => position < small.length ? [index, small[position]!] : [index])
}

function fullestFirst (workers: AvailableWorker[], total: Resources): AvailableWorker[] {
  const sizes = workers.map(worker => ({ worker, free: relativeSize(worker.free, total) }))
  return sizes.sort((a, b) => a.free - b.free).map(({ worker }) => worker)
}

/** Measures resources of different kinds on one scale: each as a fraction of the total of one worker, added up. */
function relativeSize (resources: Resources, total: Resources): number {
  return fractionOf(resources.slots, total.slots) + fractionOf(resources.cores, total.cores) +
    fractionOf(resources.memory, total.memory) + fractionOf(resources.accelerators, total.accelerators)
}

function fractionOf (amount: number, total: number): number {
  return total > 0 ? amount / total : 0
}
