import type { ResolvedClass } from '@rattanstep/rules'

/** One item of work in a simulated run. */
export interface Work {
  id: number
  class: string
  caller: string
  /** Time of arrival in ms. */
  arrival: number
  /** True run time in ms. */
  runTime: number
  /** Time in ms that the caller waits for a start. */
  patience: number
  /** Time in ms at which the caller withdraws it; `Infinity` for never. */
  withdrawnAt: number
  state: 'new' | 'waiting' | 'running' | 'done' | 'failed' | 'refused' | 'withdrawn'
  /** Time in ms at which it last started on a worker; `NaN` before. */
  startedAt: number
  /** Number of starts, including those that failed or were preempted. */
  attempts: number
  /** Whether the caller sent it again after it was refused. */
  hasReturned: boolean
  /** Remaining run time in ms after the last checkpoint. */
  remaining: number
}

/** A class of work in a workload. */
export interface WorkClass {
  rule: ResolvedClass
  /** Fraction of all items. */
  share: number
  /** Returns a run time in ms for two random numbers from 0 to 1. */
  drawRunTime: (a: number, b: number) => number
  /** Mean run time in ms. */
  meanRunTime: number
  /** Number of callers besides the one that sends half of the items. */
  callers: number
  /** Whether demand alternates between peak and trough. */
  hasPeaks: boolean
  /** Whether items run as tasks of jobs, which can be preempted. */
  runsAsTasks: boolean
  /** Role of the class, by which reports select it. */
  role: 'urgent' | 'quick' | 'batch' | 'long'
}

/** A simulated workload, called a desk in flags and results, with the workers that serve it. */
export interface Workload {
  name: string
  classes: WorkClass[]
  workers: number
  /** Slots of each worker. */
  slots: number
}

/** Parameters of one simulated run. */
export interface RunPlan {
  workload: Workload
  /** Offered work relative to the slot time of all workers. */
  load: number
  seed: number
  /** Milliseconds during which work arrives. */
  duration: number
  /** Peak demand relative to the mean; 1 for steady demand. */
  peakDemand: number
  /** Number of workers that fail all work after a quarter of the run. */
  failingWorkers: number
  /** Interval in ms between waves of cancellations; 0 for none. */
  waveInterval: number
}
