import { fitsResources, SeededRandom, subtractResources } from '@rattanstep/core'
import type { Random, Resources } from '@rattanstep/core'
import { packTasks } from '@rattanstep/policy'
import type { AvailableWorker } from '@rattanstep/policy'
import type { Scenario } from '../../types/scenario.js'
import { formatSpread, spread } from '../../utils/statistics.js'

const WORKER_RESOURCES: Resources = { slots: 8, cores: 16, memory: 65_536, accelerators: 0 }
const SETS_PER_SEED = 50
const TASKS_PER_SET = 100

/** Packs all tasks and returns the number of workers needed. */
type Packing = (tasks: Resources[]) => number

const PACKINGS: Array<{ name: string, pack: Packing }> = [
  { name: 'rattanstep', pack: packSeveralOrders },
  { name: 'first fit as they come', pack: packFirstFit },
  { name: 'next worker as they come', pack: packNextFit }
]

/**
 * Compares the number of workers that each packing method needs with a lower bound.
 *
 * @param options - seeds
 * @returns one table
 */
export const compareTaskPacking: Scenario = options => {
  const rows = PACKINGS.map(({ name, pack }) => {
    const excess = options.seeds.map(seed => packSeed(pack, seed))
    const means = excess.map(list => list.reduce((sum, value) => sum + value, 0) / list.length)
    const worst = excess.map(list => Math.max(...list))
    return [name, formatSpread(spread(means), 1), formatSpread(spread(worst), 1)]
  })
  const title = `Workers needed for ${TASKS_PER_SET} tasks, above the lower bound`
  const note = `Lower bound: the largest of the sums of slots, cores and memory; ${SETS_PER_SEED} sets a seed.`
  return { reports: [{ title, note, columns: ['packing', 'mean %', 'worst set %'], rows }], plots: [] }
}

function packSeed (pack: Packing, seed: number): number[] {
  const random = new SeededRandom(seed)
  return Array.from({ length: SETS_PER_SEED }, () => {
    const tasks = Array.from({ length: TASKS_PER_SET }, () => drawTask(random))
    return 100 * (pack(tasks) / lowerBound(tasks) - 1)
  })
}

function drawTask (random: Random): Resources {
  return { slots: 1, cores: 0.5 + 5 * random.next() ** 2, memory: 1024 + 24_000 * random.next() ** 2, accelerators: 0 }
}

function lowerBound (tasks: Resources[]): number {
  const sum = (amount: (task: Resources) => number): number => tasks.reduce((total, task) => total + amount(task), 0)
  const needed = [
    sum(task => task.slots) / WORKER_RESOURCES.slots,
    sum(task => task.cores) / WORKER_RESOURCES.cores,
    sum(task => task.memory) / WORKER_RESOURCES.memory
  ]
  return Math.ceil(Math.max(...needed))
}

function packSeveralOrders (tasks: Resources[]): number {
  for (let count = lowerBound(tasks); ; count++) {
    const workers: AvailableWorker[] = Array.from({ length: count }, (_, index) => ({ id: `${index}`, total: WORKER_RESOURCES, free: WORKER_RESOURCES, rack: '' }))
    if (packTasks({ tasks, workers }).length === tasks.length) return count
  }
}

function packFirstFit (tasks: Resources[]): number {
  const free: Resources[] = []
  for (const task of tasks) {
    const index = free.findIndex(available => fitsResources(task, available))
    if (index < 0) free.push(subtractResources(WORKER_RESOURCES, task))
    else free[index] = subtractResources(free[index]!, task)
  }
  return free.length
}

function packNextFit (tasks: Resources[]): number {
  let count = 0
  let free: Resources = { slots: 0, cores: 0, memory: 0, accelerators: 0 }
  for (const task of tasks) {
    if (!fitsResources(task, free)) {
      count++
      free = WORKER_RESOURCES
    }
    free = subtractResources(free, task)
  }
  return count
}
