import { addResources, fitsResources, NO_RESOURCES } from '@rattanstep/core'
import type { TaskRun } from '@rattanstep/stand-ins'
import type { Cell } from './Cell.js'

interface StoredTask {
  job: string
  index: number
  kind: string
  state: string
  worker: string
  fence: number
}

/** Checks the invariants of the job subsystem against the run records of the workers and the rows of the table. Returns a description of each violation. */
export function findViolations (cell: Cell): string[] {
  const now = cell.clock.now()
  return [...findConcurrentRuns(cell.workers.runs, now), ...findOverallocations(cell, now), ...findPartialGangs(cell), ...findInconsistentRows(cell), ...cell.workers.violations]
}

/** No task runs twice at the same time. */
function findConcurrentRuns (runs: TaskRun[], now: number): string[] {
  const byTask = new Map<string, TaskRun[]>()
  for (const run of runs) byTask.set(run.task, [...byTask.get(run.task) ?? [], run])
  return [...byTask.values()].flatMap(list => {
    const sorted = list.sort((a, b) => a.from - b.from || (a.until ?? now) - (b.until ?? now))
    return sorted.slice(1).flatMap((run, number) => {
      const before = sorted[number]!
      if (run.from >= (before.until ?? Infinity)) return []
      return [`${run.task} ran on ${before.worker} at fence ${before.fence} until ${String(before.until)} and on ${run.worker} at fence ${run.fence} from ${run.from}`]
    })
  })
}

/** No worker runs more than it has resources for. Sums the concurrent runs at the start of each run. */
function findOverallocations (cell: Cell, now: number): string[] {
  const { runs } = cell.workers
  return runs.flatMap(run => {
    const concurrent = runs.filter(other => other.worker === run.worker && other.from <= run.from && (other.until ?? now + 1) > run.from)
    const used = concurrent.reduce((sum, other) => addResources(sum, other.resources), NO_RESOURCES)
    const total = cell.workerResources.get(run.worker)!
    return fitsResources(used, total) ? [] : [`${run.worker} held more than it has at ${run.from}`]
  })
}

/** Every task has one row, and its placement row exists exactly while the task is on a worker. */
function findInconsistentRows (cell: Cell): string[] {
  const tasks = readTasks(cell)
  const placements = new Set(cell.table.peek('on/').map(row => row.key))
  const expected = tasks.filter(task => ['placed', 'vacating', 'cancelling'].includes(task.state)).map(task => `on/${task.worker}/${task.job}/${String(task.index).padStart(5, '0')}`)
  const jobs = cell.table.peek('job/').map(row => JSON.parse(row.value) as { id: string, count: number })
  const incomplete = jobs.filter(job => tasks.filter(task => task.job === job.id).length !== job.count).map(job => `${job.id} lost rows`)
  return [...incomplete, ...expected.filter(key => !placements.has(key)).map(key => `${key} is missing`), ...expected.length === placements.size ? [] : ['a placement row has no task']]
}

/** The tasks of a gang are placed by one transaction, so that all tasks that are not done have the same fence. */
function findPartialGangs (cell: Cell): string[] {
  const gangs = new Map<string, StoredTask[]>()
  for (const task of readTasks(cell)) {
    if (task.kind === 'gang') gangs.set(task.job, [...gangs.get(task.job) ?? [], task])
  }
  return [...gangs].flatMap(([job, tasks]) => {
    const open = tasks.filter(task => task.state !== 'done')
    return new Set(open.map(task => task.fence)).size > 1 ? [`${job} was placed in part`] : []
  })
}

export function readTasks (cell: Cell): StoredTask[] {
  return cell.table.peek('task/').map(row => JSON.parse(row.value) as StoredTask)
}
