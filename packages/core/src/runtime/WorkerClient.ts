import type { Instance, Resources } from '../types/instance.js'
import type { Result } from '../types/result.js'

/**
 * Commands to workers about tasks, and their reports.
 */

/** A point on the monotonic time of one life of a worker process. */
export interface WorkerTimestamp {
  /** Differs for each life of the process. */
  epoch: string
  /** Milliseconds on the process's own monotonic clock. */
  time: number
}

/** Identifies one placement of a task. A worker refuses commands with an older fence. */
export interface TaskLease {
  task: string
  /** Grows with every placement of the task. */
  fence: number
  /** Milliseconds from the receipt of the command after which the worker stops the task by itself. */
  duration: number
  /** The worker refuses the command after this moment, and in another life; a late command then has no effect. */
  validUntil?: WorkerTimestamp
}

/** Starts a task under a lease. */
export interface TaskStart extends TaskLease {
  /** What the task is to run; opaque to the scheduler. */
  command: string
  resources: Resources
  /** Object that holds a checkpoint to start from, or empty. */
  checkpoint: string
}

/** How a task stands at its worker. */
export type TaskState = 'running' | 'done' | 'failed' | 'stopped'

/** One task in a worker's report. */
export interface TaskReport {
  task: string
  fence: number
  state: TaskState
  /** What the task uses now. */
  usage: Resources
  /** From 0 to 1; 1 is full speed. */
  speed: number
  /** Object that holds the newest checkpoint, or empty. */
  checkpoint: string
}

/** What a worker says of itself. */
export interface WorkerReport {
  worker: string
  /** Milliseconds since the figures were taken. */
  lag: number
  tasks: TaskReport[]
  /** Requests that the worker runs. */
  requests: number
  /** Open connections. */
  connections: number
  /** When the report was made, on the worker's own clock; absent when the worker does not tell. */
  moment?: WorkerTimestamp
}

/**
 * Why a worker did not do as told.
 * - `refused`: the worker said no; the command had no effect
 * - `unreachable`: no byte of the command left
 * - `unknown`: the command may have taken effect
 */
export interface WorkerError {
  fault: 'refused' | 'unreachable' | 'unknown'
  message: string
}

/** Control of the tasks on all workers. */
export abstract class WorkerClient {
  /**
   * Starts a task. Repeating a start with the same fence has no further effect.
   *
   * @param worker - where
   * @param start - what, under which lease
   */
  abstract start (worker: Instance, start: TaskStart): Promise<Result<void, WorkerError>>

  /**
   * Extends leases.
   *
   * @param worker - where
   * @param leases - leases to extend
   * @returns names of the tasks that the worker does not run under the fence given
   */
  abstract renew (worker: Instance, leases: TaskLease[]): Promise<Result<string[], WorkerError>>

  /**
   * Stops tasks. Once answered, they no longer run; a task that never ran counts as stopped.
   *
   * @param worker - where
   * @param tasks - tasks with their fences
   */
  abstract stop (worker: Instance, tasks: Array<{ task: string, fence: number }>): Promise<Result<void, WorkerError>>

  /**
   * Writes a checkpoint of a task to the object store.
   *
   * @param worker - where
   * @param task - the task with its fence
   * @returns name of the object
   */
  abstract checkpoint (worker: Instance, task: { task: string, fence: number }): Promise<Result<string, WorkerError>>

  /**
   * Slows a task down or lets it run at full speed again.
   *
   * @param worker - where
   * @param task - the task with its fence
   * @param speed - from 0 to 1
   */
  abstract throttle (worker: Instance, task: { task: string, fence: number }, speed: number): Promise<Result<void, WorkerError>>

  /**
   * @param worker - whom to ask
   * @returns what runs there
   */
  abstract report (worker: Instance): Promise<Result<WorkerReport, WorkerError>>
}
