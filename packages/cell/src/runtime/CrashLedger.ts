import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import { CELL_EVENTS } from '../types/events.js'
import type { WorkerReport } from '../types/worker.js'
import { countCrashes, incarnationTag, isCounted } from './CrashBudget.js'
import type { Crash, CrashCertainty, Task, WorkerState } from './model.js'
import type { Registry } from './Registry.js'
import { SharedLosses } from './SharedLosses.js'
import type { SharedLoss } from './SharedLosses.js'

/** Options and callbacks of a crash ledger. */
export interface CrashLedgerOptions {
  log: Log
  clock: Clock
  registry: Registry
  /** Called after the crashes of a task have changed. */
  onChange: (task: Task) => void
}

/** Attributes crashes of workers to the tasks that ran on them, and corrects the attribution when more becomes known about a worker. */
export class CrashLedger {
  /** Tasks with crashes that are not proven, by id of the worker. */
  private readonly unproven = new Map<string, Set<Task>>()
  /** Ids of these workers, by their last address. */
  private readonly addresses = new Map<string, Set<string>>()

  private readonly losses: SharedLosses

  constructor (private readonly options: CrashLedgerOptions) {
    this.losses = new SharedLosses(options.registry)
  }

  /** Handles the loss of contact with a worker, which may show that its whole rack or data centre has failed. */
  noteLost (worker: WorkerState): void {
    if (worker.isLossNoted) return
    worker.isLossNoted = true
    this.losses.note(worker, this.options.clock.now())
    const shared = this.losses.sharedLossOf(this.losses.lossOf(worker.report.id)!)
    for (const loss of shared?.losses ?? []) {
      for (const task of loss.charged) {
        const crash = task.crashes.findLast(each => each.worker === loss.worker && isCounted(each))
        if (crash === undefined) continue
        excuse(task, crash, shared!)
        this.reportChange(task, crash, crash.certainty)
      }
    }
  }

  /**
   * Attributes the crash of a worker to the tasks whose runs may have been executing.
   *
   * @param worker - the worker, with the runs of all its tasks
   * @param tasks - tasks whose runs on the worker are lost
   * @param certainty - how certain it is that the worker has crashed
   */
  charge (worker: WorkerState, tasks: Task[], certainty: CrashCertainty): void {
    const present = [...worker.tasks.values()].filter(task => task.phase !== 'placed')
    const loss = this.losses.lossOf(worker.report.id)
    const shared = loss === undefined ? undefined : this.losses.sharedLossOf(loss)
    const isAlone = worker.hasAnswered && worker.unknownRuns === 0 && present.every(({ step }) => step.occurrence.job === present[0]!.step.occurrence.job)
    for (const task of tasks) {
      const { incarnation } = task
      const isLeaving = worker.leavingIncarnation !== 0 && worker.leavingIncarnation === incarnation
      if (isLeaving || !mayExecute(task) || hasCrash(task, worker.report.id, incarnation)) continue
      const crash: Crash = { worker: worker.report.id, incarnation, run: task.run, certainty, isAlone }
      task.crashes.push(crash)
      task.avoidedWorkers.add(crash.worker)
      loss?.charged.push(task)
      if (shared !== undefined) excuse(task, crash, shared)
      if (!isSettled(crash)) this.remember(task, worker.report)
      this.reportChange(task, crash, crash.certainty)
    }
  }

  /** Attributes the possible crash of a worker whose leases have expired in silence to its tasks. */
  chargeSilent (worker: WorkerState): void {
    this.charge(worker, [...worker.tasks.values()], worker.isReplaced ? 'confirmed' : worker.isListed ? 'possible' : 'presumed')
  }

  /**
   * Attributes the crash of a worker's former incarnation to the runs that were ordered to it. For an order in flight, the outcome will tell
   * which incarnation got it.
   *
   * @param worker - the worker
   * @param born - start of the incarnation that has answered, ms since 1970, or 0 if it is not known
   */
  chargeFormer (worker: WorkerState, born: number): void {
    const current = incarnationTag(born)
    const former = [...worker.tasks.values()].filter(({ phase, incarnation }) => phase !== 'ordered' && incarnation !== 0 && current !== 0 && incarnation !== current)
    if (former.length > 0) this.charge(worker, former, 'confirmed')
  }

  /** Adds the unproven crashes of a task whose record was read. */
  restore (task: Task): void {
    for (const crash of task.crashes) if (!isSettled(crash)) this.remember(task, { id: crash.worker, address: '' })
  }

  /** Handles an answer of a worker: the same incarnation has not crashed, another one proves that the former one has. */
  noteIncarnation (id: string, born: number): void {
    if (born === 0 || !this.unproven.has(id)) return
    this.resolve(id, crash => crash.incarnation === 0 ? undefined : crash.incarnation === incarnationTag(born) ? 'disproved' : 'confirmed')
  }

  /** Handles the answer of another worker at a worker's address. */
  noteReplaced (id: string): void {
    this.resolve(id, () => 'confirmed')
  }

  /** Handles a new or changed entry of the instance list. */
  noteListed ({ id, address }: Pick<WorkerReport, 'id' | 'address'>): void {
    for (const former of this.addresses.get(address) ?? []) if (former !== id) this.noteReplaced(former)
  }

  /** Handles the end of a worker's entry in the instance list; `isLeaving`: whether the entry announced a planned stop. */
  noteGone (id: string, isLeaving: boolean): void {
    this.resolve(id, crash => isLeaving ? 'disproved' : crash.certainty === 'possible' ? 'presumed' : undefined)
  }

  private resolve (id: string, judge: (crash: Crash) => CrashCertainty | 'disproved' | undefined): void {
    for (const task of [...this.unproven.get(id) ?? []]) {
      for (const crash of [...task.crashes]) {
        if (crash.worker !== id || isSettled(crash)) continue
        const outcome = judge(crash)
        if (outcome === undefined) continue
        if (outcome === 'disproved') task.crashes.splice(task.crashes.indexOf(crash), 1)
        else crash.certainty = outcome
        this.reportChange(task, crash, outcome)
      }
      if (!task.crashes.some(crash => crash.worker === id && !isSettled(crash))) this.forget(task, id)
    }
  }

  private reportChange (task: Task, { worker, run, isAlone }: Crash, certainty: CrashCertainty | 'disproved'): void {
    this.options.log.write(CELL_EVENTS.crashAttributed, { task: task.name, run, worker, certainty, alone: isAlone, crashes: countCrashes(task) })
    this.options.onChange(task)
  }

  private remember (task: Task, { id, address }: Pick<WorkerReport, 'id' | 'address'>): void {
    addTo(this.unproven, id, task)
    if (address !== '') addTo(this.addresses, address, id)
  }

  private forget (task: Task, id: string): void {
    const tasks = this.unproven.get(id)
    tasks?.delete(task)
    if (tasks?.size !== 0) return
    this.unproven.delete(id)
    for (const [address, ids] of this.addresses) if (ids.delete(id) && ids.size === 0) this.addresses.delete(address)
  }
}

/** @returns whether nothing that becomes known about the worker changes the crash */
function isSettled ({ certainty }: Crash): boolean {
  return certainty === 'confirmed' || certainty === 'excused'
}

/**
 * Excuses a task of the crash of a worker that was lost together with its rack or data centre, unless its job ran on all of these workers, or the
 * task was excused before: several tasks that crash their workers at the same time look the same. Such a crash proves nothing.
 */
function excuse (task: Task, crash: Crash, { commonJobs }: SharedLoss): void {
  crash.isAlone = false
  if (commonJobs.has(task.step.occurrence.job) || task.crashes.some(each => each !== crash && each.certainty === 'excused')) return
  crash.certainty = 'excused'
}

/**
 * @returns whether the worker may be executing the task's run: no end is known, and this decider has sent the order or a worker is known to have begun
 * the run. A placement found on record is no evidence of either.
 */
function mayExecute ({ phase, run, sentRun, begunRun }: Task): boolean {
  const isOpen = phase === 'ordered' || phase === 'running' || phase === 'stopping' || phase === 'assumed'
  return isOpen && (sentRun === run || begunRun === run)
}

function hasCrash ({ crashes, run }: Task, worker: string, incarnation: number): boolean {
  return crashes.some(crash => crash.run === run && crash.worker === worker && crash.incarnation === incarnation)
}

function addTo<Key, Value> (map: Map<Key, Set<Value>>, key: Key, value: Value): void {
  const values = map.get(key)
  if (values === undefined) map.set(key, new Set([value]))
  else values.add(value)
}
