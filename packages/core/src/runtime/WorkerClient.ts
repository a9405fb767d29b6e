import type { Instance, Resources } from '../types/instance.js'
import type { Result } from '../types/result.js'

/** A time on the monotonic clock of one worker process. */
export interface WorkerTimestamp {
  /** Identifies the process; a restarted process has another value. */
  epoch: string
  /** Time in ms on the monotonic clock of the process. */
  time: number
}

/** Lease of one placement of a task. A worker refuses commands with an older fence. */
export interface TaskLease {
  task: string
  /** Fencing token, which increases with every placement of the task. */
  fence: number
  /** Time in ms after receipt of the command at which the worker stops the task by itself. */
  duration: number
  /** After this time, or after a restart, the worker refuses the command, so that a delayed command has no effect. */
  validUntil?: WorkerTimestamp
}

/** Starts a task under a lease. */
export interface TaskStart extends TaskLease {
  /** Command that the task runs; opaque to the scheduler. */
  command: string
  resources: Resources
  /** Name of the object with the checkpoint to start from, or empty. */
  checkpoint: string
}

/** State of a task on its worker. */
export type TaskState = 'running' | 'done' | 'failed' | 'stopped'

/** One task in a worker's report. */
export interface TaskReport {
  task: string
  fence: number
  state: TaskState
  /** Resources that the task uses at present. */
  usage: Resources
  /** From 0 to 1; 1 is full speed. */
  speed: number
  /** Name of the object with the newest checkpoint, or empty. */
  checkpoint: string
}

/** Report of a worker about what it runs. */
export interface WorkerReport {
  worker: string
  /** Age of the figures in ms. */
  lag: number
  tasks: TaskReport[]
  /** Number of requests that the worker runs. */
  requests: number
  /** Number of open connections. */
  connections: number
  /** Time of the report on the worker's own clock; absent when the worker does not send it. */
  moment?: WorkerTimestamp
}

/**
 * Failure of a command.
 * - `refused`: the worker refused the command, which had no effect
 * - `unreachable`: no byte of the command was sent
 * - `unknown`: the command may have taken effect
 */
export interface WorkerError {
  fault: 'refused' | 'unreachable' | 'unknown'
  message: string
}

/** Sends commands about tasks to workers, and reads their reports. */
export abstract class WorkerClient {
  /**
   * Starts a task. Repeating a start with the same fence has no further effect.
   *
   * @param worker - the worker
   * @param start - the task and its lease
   */
  abstract start (worker: Instance, start: TaskStart): Promise<Result<void, WorkerError>>

  /**
   * Extends leases.
   *
   * @param worker - the worker
   * @param leases - leases to extend
   * @returns names of the tasks that the worker does not run under the given fence
   */
  abstract renew (worker: Instance, leases: TaskLease[]): Promise<Result<string[], WorkerError>>

  /**
   * Stops tasks. Once the worker has answered, they no longer run. A task that never ran counts as stopped.
   *
   * @param worker - the worker
   * @param tasks - tasks with their fences
   */
  abstract stop (worker: Instance, tasks: Array<{ task: string, fence: number }>): Promise<Result<void, WorkerError>>

  /**
   * Writes a checkpoint of a task to the object store.
   *
   * @param worker - the worker
   * @param task - the task with its fence
   * @returns name of the object
   */
  abstract checkpoint (worker: Instance, task: { task: string, fence: number }): Promise<Result<string, WorkerError>>

  /**
   * Sets the speed of a task.
   *
   * @param worker - the worker
   * @param task - the task with its fence
   * @param speed - from 0 to 1; 1 is full speed
   */
  abstract throttle (worker: Instance, task: { task: string, fence: number }, speed: number): Promise<Result<void, WorkerError>>

  /**
   * Requests a report.
   *
   * @param worker - the worker
   * @returns the report
   */
  abstract report (worker: Instance): Promise<Result<WorkerReport, WorkerError>>
}
