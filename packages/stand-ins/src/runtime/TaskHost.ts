import { addResources, Err, fitsResources, NO_RESOURCES, Ok, subtractResources } from '@rattanstep/core'
import type { Clock, ObjectStore, Resources, Result, TaskLease, TaskStart, WorkerError, WorkerReport } from '@rattanstep/core'
import type { TaskRun } from '../types/run.js'
import { HostedTask } from './HostedTask.js'

/** Identifies one placement of a task. */
export interface TaskPlacement {
  task: string
  /** Fencing token of the placement. */
  fence: number
}

/** Runs tasks under leases with fencing tokens, as a worker does. */
export class TaskHost {
  readonly worker: string
  readonly resources: Resources
  /** Every run of a task on this host. */
  readonly runs: TaskRun[] = []
  /** Descriptions of the start commands that were refused because the worker had too few free resources. */
  readonly violations: string[] = []
  /** Makes every task fail as soon as it starts. */
  failsOnStart = false
  /** Returns the resources in use besides tasks, such as the slots of requests. */
  otherUsage: () => Resources = () => NO_RESOURCES
  private readonly clock: Clock
  private readonly objects: ObjectStore | null
  private tasks = new Map<string, HostedTask>()
  /** Highest fencing token seen for each task, and whether that placement was stopped; a stopped placement never starts. */
  private fences = new Map<string, { fence: number, stopped: boolean }>()
  /** Incremented by each simulated restart. */
  private generation = 1

  /**
   * @param options - `worker`: identifier of the worker; `resources`: its total resources; `objects`: store for checkpoints;
   * `epoch`: prefix of the `epoch` property, which should be unique to this process (default `life`)
   */
  constructor (options: { worker: string, resources: Resources, clock: Clock, objects?: ObjectStore, epoch?: string }) {
    this.worker = options.worker
    this.resources = options.resources
    this.clock = options.clock
    this.objects = options.objects ?? null
    this.epochPrefix = options.epoch ?? 'life'
  }

  private readonly epochPrefix: string

  /** Identifies the worker process; changes at each restart. */
  get epoch (): string {
    return `${this.epochPrefix}-${this.generation}`
  }

  /**
   * Starts a task; a repeat has no further effect.
   *
   * @param start - the task with its lease
   * @returns `refused` when the worker restarted meanwhile, the lease in the command has expired or belongs to an earlier epoch, its fencing token is older than the
   * newest one or was stopped, or the task does not fit
   */
  async start (start: TaskStart): Promise<Result<void, WorkerError>> {
    const generation = this.generation
    const savedWork = await this.loadCheckpoint(start.checkpoint)
    if (generation !== this.generation) return refused('the worker was restarted')
    return this.startFrom(start, savedWork)
  }

  /**
   * Extends leases.
   *
   * @param leases - leases to extend
   * @returns identifiers of the tasks that do not run under the given fencing token, or whose renewal was received after `validUntil` or in another epoch
   */
  renew (leases: TaskLease[]): string[] {
    const missing: string[] = []
    for (const lease of leases) {
      const task = this.find(lease)
      if (task?.state === 'running' && this.isInTime(lease)) task.extendLease(lease.duration)
      else missing.push(lease.task)
    }
    return missing
  }

  /**
   * Stops tasks and prevents these placements from starting later.
   *
   * @param placements - placements to stop; one that is older than the newest of its task is ignored
   */
  stop (placements: TaskPlacement[]): void {
    for (const placement of placements) {
      const latest = this.fences.get(placement.task)
      if (latest !== undefined && latest.fence > placement.fence) continue
      this.fences.set(placement.task, { fence: placement.fence, stopped: true })
      this.tasks.get(placement.task)?.end('stopped')
      this.tasks.delete(placement.task)
    }
  }

  /**
   * Stores a checkpoint of a task.
   *
   * @param placement - a running task
   * @returns name of the object that holds the checkpoint; `refused` when the task does not run here, `unknown` when the
   * store failed
   */
  async checkpoint (placement: TaskPlacement): Promise<Result<string, WorkerError>> {
    const task = this.find(placement)
    if (task?.state !== 'running' || this.objects === null) return refused(`task ${placement.task} does not run here`)
    const objectName = `checkpoint/${placement.task}/${placement.fence}`
    const stored = await this.objects.put(objectName, new TextEncoder().encode(JSON.stringify({ done: task.workDone })))
    if (stored.isErr()) return Err({ fault: 'unknown', message: stored.error.message })
    task.checkpoint = objectName
    return Ok(objectName)
  }

  /**
   * Changes the speed of a task.
   *
   * @param placement - a running task
   * @param speed - from 0 (paused) to 1 (full speed)
   * @returns `refused` when the task does not run here
   */
  throttle (placement: TaskPlacement, speed: number): Result<void, WorkerError> {
    const task = this.find(placement)
    if (task?.state !== 'running') return refused(`task ${placement.task} does not run here`)
    task.throttle(speed)
    return Ok(undefined)
  }

  /** @returns a report of the tasks that run here or have ended */
  report (): WorkerReport {
    const tasks = [...this.tasks.values()].map(task => task.report())
    const moment = { epoch: this.epoch, time: this.clock.now() }
    return { worker: this.worker, lag: 0, tasks, requests: 0, connections: 0, moment }
  }

  /** Simulates a crash and restart of the worker process: its tasks and the fencing tokens it has seen are lost. */
  kill (): void {
    this.generation++
    for (const task of this.tasks.values()) task.end('stopped')
    this.tasks = new Map()
    this.fences = new Map()
  }

  /** @returns resources that running tasks use */
  usedResources (): Resources {
    const running = [...this.tasks.values()].filter(task => task.state === 'running')
    return running.reduce((sum, task) => addResources(sum, task.resources), NO_RESOURCES)
  }

  private startFrom (start: TaskStart, savedWork: number): Result<void, WorkerError> {
    if (!this.isInTime(start)) return refused('the command came too late')
    const latest = this.fences.get(start.task)
    if (latest !== undefined && latest.fence > start.fence) return refused(`fence ${start.fence} is older than ${latest.fence}`)
    if (latest?.fence === start.fence) return latest.stopped ? refused('the task was stopped') : Ok(undefined)
    this.tasks.get(start.task)?.end('stopped')
    const free = subtractResources(subtractResources(this.resources, this.usedResources()), this.otherUsage())
    if (!fitsResources(start.resources, free)) {
      this.violations.push(`${start.task} at fence ${start.fence} does not fit on ${this.worker}`)
      return refused('the task does not fit')
    }
    this.run(start, savedWork)
    return Ok(undefined)
  }

  private run (start: TaskStart, savedWork: number): void {
    const run: TaskRun = { worker: this.worker, task: start.task, fence: start.fence, resources: start.resources, from: this.clock.now(), until: null }
    const onEnd = (): void => { run.until = this.clock.now() }
    this.runs.push(run)
    this.fences.set(start.task, { fence: start.fence, stopped: false })
    const task = new HostedTask({ clock: this.clock, start, savedWork, onEnd })
    this.tasks.set(start.task, task)
    if (this.failsOnStart) task.end('failed')
  }

  private find (placement: TaskPlacement): HostedTask | undefined {
    const task = this.tasks.get(placement.task)
    return task?.fence === placement.fence ? task : undefined
  }

  private isInTime (lease: TaskLease): boolean {
    if (lease.validUntil === undefined) return true
    return lease.validUntil.epoch === this.epoch && this.clock.now() <= lease.validUntil.time
  }

  private async loadCheckpoint (objectName: string): Promise<number> {
    if (objectName === '' || this.objects === null) return 0
    const loaded = await this.objects.get(objectName)
    if (loaded.isErr() || loaded.value === null) return 0
    try {
      const content = JSON.parse(new TextDecoder().decode(loaded.value)) as { done?: unknown }
      return typeof content.done === 'number' ? content.done : 0
    } catch {
      return 0
    }
  }
}

function refused<T> (message: string): Result<T, WorkerError> {
  return Err({ fault: 'refused', message })
}
