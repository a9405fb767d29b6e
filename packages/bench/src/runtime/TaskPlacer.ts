import type { FakeClock } from '@rattanstep/core'
import type { Admission } from '@rattanstep/policy'
import type { ResolvedClass } from '@rattanstep/rules'
import type { Work } from '../types/work.js'
import type { WorkerPool, Machine } from './WorkerPool.js'
import type { Recorder } from './Recorder.js'
import { MESSAGE_DELAY_MS } from './Scheduler.js'

/** Time from the decision to stop a task until its slot is free, for the command and its answer. */
const STOP_TIME_MS = 2 * MESSAGE_DELAY_MS

/** The queue of tasks, which all placers of a run share. */
export interface TaskQueue {
  waiting: Work[]
}

/** Called when the capacity that a task held is free again, with the identifier of its hold. */
export type FreedCallback = (id: string, ending: 'completed' | 'failed' | 'stopped') => void

interface RunningTask {
  work: Work
  id: string
  machine: Machine
  startedAt: number
  stop: () => void
}

/** Options of a `TaskPlacer`. */
export interface TaskPlacerOptions {
  clock: FakeClock
  pool: WorkerPool
  recorder: Recorder
  admission: Admission
  machines: Machine[]
  queue: TaskQueue
  classes: Map<string, ResolvedClass>
  /** Names of the classes whose work runs as tasks. */
  taskClasses: ReadonlySet<string>
  /** Whether tasks are stopped when work of higher priority needs their capacity. */
  preempts: boolean
}

/** Places waiting tasks on the workers of one owner, and stops them when work of higher priority needs their capacity. */
export class TaskPlacer {
  private readonly options: TaskPlacerOptions
  private readonly running = new Set<RunningTask>()
  private stoppingCount = 0
  private taskCount = 0

  /** @param options - admission and workers of the owner, and the shared queue of tasks */
  constructor (options: TaskPlacerOptions) {
    this.options = options
  }

  /**
   * Stops tasks where work of higher priority needs their capacity, then places waiting tasks into free capacity.
   *
   * @param onFreed - called for each hold whose capacity is free again
   */
  tick (onFreed: FreedCallback): void {
    this.reportWaitingTasks()
    if (this.options.preempts) this.preempt(onFreed)
    this.placeWaiting(onFreed)
  }

  private reportWaitingTasks (): void {
    const counts = new Map<string, number>()
    for (const work of this.options.queue.waiting) counts.set(work.class, (counts.get(work.class) ?? 0) + 1)
    for (const name of this.options.taskClasses) this.options.admission.setWaitingTasks(name, counts.get(name) ?? 0)
  }

  private preempt (onFreed: FreedCallback): void {
    const demand = this.options.admission.preemptionDemand()
    if (demand === null || demand.preempts !== 'stop') return
    const lowerTasks = [...this.running].filter(({ work }) => this.options.classes.get(work.class)!.priority < demand.priority)
    lowerTasks.sort((a, b) => b.startedAt - a.startedAt)
    for (const task of lowerTasks.slice(0, Math.max(0, demand.slots - this.stoppingCount))) this.stop(task, onFreed)
  }

  private stop (task: RunningTask, onFreed: FreedCallback): void {
    this.running.delete(task)
    this.stoppingCount++
    this.options.clock.schedule(STOP_TIME_MS, () => {
      this.stoppingCount--
      if (task.work.state !== 'running') return
      task.stop()
      this.options.queue.waiting.unshift(task.work)
      onFreed(task.id, 'stopped')
    })
  }

  private placeWaiting (onFreed: FreedCallback): void {
    const { queue, machines, admission } = this.options
    for (const machine of machines) {
      while (queue.waiting.length > 0 && admission.free(machine.id).slots > 0) {
        if (!this.place(machine, onFreed)) return
      }
    }
  }

  private place (machine: Machine, onFreed: FreedCallback): boolean {
    const { queue, admission, clock, recorder, pool } = this.options
    const work = queue.waiting[0]!
    const id = `t${this.taskCount++}`
    const resources = { slots: 1, cores: 1, memory: 1024, accelerators: 0 }
    if (!admission.hold(machine.id, resources, work.class, '', id, clock.now())) return false
    queue.waiting.shift()
    recorder.hold(1, clock.now())
    clock.schedule(MESSAGE_DELAY_MS, () => {
      recorder.hold(-1, clock.now())
      if (work.state !== 'waiting') {
        onFreed(id, 'stopped')
        return
      }
      this.start({ work, id, machine, pool }, onFreed)
    })
    return true
  }

  private start (task: { work: Work, id: string, machine: Machine, pool: WorkerPool }, onFreed: FreedCallback): void {
    const { work, id, machine, pool } = task
    const { clock, recorder, queue } = this.options
    const { stop } = pool.run(work, machine, succeeded => {
      this.running.delete(running)
      if (!succeeded) {
        recorder.retry(work, clock.now())
        queue.waiting.push(work)
      }
      clock.schedule(MESSAGE_DELAY_MS, () => { onFreed(id, succeeded ? 'completed' : 'failed') })
    })
    const running: RunningTask = { work, id, machine, startedAt: this.options.clock.now(), stop }
    this.running.add(running)
  }
}
