import type { FakeClock } from '@rattanstep/core'
import type { Admission } from '@rattanstep/policy'
import type { ResolvedClass } from '@rattanstep/rules'
import type { Work } from '../types/work.js'
import type { Cell, Machine } from './Cell.js'
import type { Recorder } from './Recorder.js'
import { HOP } from './Scheduler.js'

/** Milliseconds from the decision to stop a task until its slot is free: the command and its answer. */
const STOP_TIME = 2 * HOP

/** What every feeder of one run shares. */
export interface TaskQueue {
  waiting: Work[]
}

/** Called once room was freed. */
export type Freed = (id: string, ending: 'completed' | 'failed' | 'stopped') => void

interface Running {
  work: Work
  id: string
  machine: Machine
  startedAt: number
  stop: () => void
}

/** What a feeder works with. */
export interface TaskFeederOptions {
  clock: FakeClock
  cell: Cell
  recorder: Recorder
  admission: Admission
  machines: Machine[]
  queue: TaskQueue
  classes: Map<string, ResolvedClass>
  /** Classes whose work runs as tasks. */
  tasks: ReadonlySet<string>
  /** Whether tasks are stopped when higher work needs the room. */
  preempts: boolean
}

/** Places waiting tasks on the workers of one owner, and stops them when higher work needs the room. */
export class TaskFeeder {
  private readonly options: TaskFeederOptions
  private readonly running = new Set<Running>()
  private stopping = 0
  private count = 0

  /** @param options - the owner's admission and workers, and the queue of tasks */
  constructor (options: TaskFeederOptions) {
    this.options = options
  }

  /**
   * Makes room for higher work, then fills what is free.
   *
   * @param freed - called once room was freed
   */
  tick (freed: Freed): void {
    this.noteWaiting()
    if (this.options.preempts) this.preempt(freed)
    this.fill(freed)
  }

  private noteWaiting (): void {
    const counts = new Map<string, number>()
    for (const work of this.options.queue.waiting) counts.set(work.class, (counts.get(work.class) ?? 0) + 1)
    for (const name of this.options.tasks) this.options.admission.setWaitingTasks(name, counts.get(name) ?? 0)
  }

  private preempt (freed: Freed): void {
    const pressure = this.options.admission.preemptionDemand()
    if (pressure === null || pressure.preempts !== 'stop') return
    const lower = [...this.running].filter(({ work }) => this.options.classes.get(work.class)!.priority < pressure.priority)
    lower.sort((a, b) => b.startedAt - a.startedAt)
    for (const task of lower.slice(0, Math.max(0, pressure.slots - this.stopping))) this.stop(task, freed)
  }

  private stop (task: Running, freed: Freed): void {
    this.running.delete(task)
    this.stopping++
    this.options.clock.schedule(STOP_TIME, () => {
      this.stopping--
      if (task.work.state !== 'running') return
      task.stop()
      this.options.queue.waiting.unshift(task.work)
      freed(task.id, 'stopped')
    })
  }

  private fill (freed: Freed): void {
    const { queue, machines, admission } = this.options
    for (const machine of machines) {
      while (queue.waiting.length > 0 && admission.free(machine.id).slots > 0) {
        if (!this.place(machine, freed)) return
      }
    }
  }

  private place (machine: Machine, freed: Freed): boolean {
    const { queue, admission, clock, recorder, cell } = this.options
    const work = queue.waiting[0]!
    const id = `t${this.count++}`
    const resources = { slots: 1, cores: 1, memory: 1024, accelerators: 0 }
    if (!admission.hold(machine.id, resources, work.class, '', id, clock.now())) return false
    queue.waiting.shift()
    recorder.hold(1, clock.now())
    clock.schedule(HOP, () => {
      recorder.hold(-1, clock.now())
      if (work.state !== 'waiting') {
        freed(id, 'stopped')
        return
      }
      this.start({ work, id, machine, cell }, freed)
    })
    return true
  }

  private start (task: { work: Work, id: string, machine: Machine, cell: Cell }, freed: Freed): void {
    const { work, id, machine, cell } = task
    const { clock, recorder, queue } = this.options
    const { stop } = cell.run(work, machine, succeeded => {
      this.running.delete(running)
      if (!succeeded) {
        recorder.retry(work, clock.now())
        queue.waiting.push(work)
      }
      clock.schedule(HOP, () => { freed(id, succeeded ? 'completed' : 'failed') })
    })
    const running: Running = { work, id, machine, startedAt: this.options.clock.now(), stop }
    this.running.add(running)
  }
}
