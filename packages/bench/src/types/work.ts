import type { ResolvedClass } from '@rattanstep/rules'

/** One piece of work of a simulated run. */
export interface Work {
  id: number
  class: string
  caller: string
  /** When it arrives, in ms. */
  arrival: number
  /** True run time in ms. */
  runTime: number
  /** Milliseconds that its caller waits. */
  patience: number
  /** When its caller withdraws it, in ms; `Infinity` when it does not. */
  withdrawnAt: number
  state: 'new' | 'waiting' | 'running' | 'done' | 'failed' | 'refused' | 'withdrawn'
  /** When it started on a worker, in ms. */
  startedAt: number
  attempts: number
  /** Whether its caller came back after a refusal. */
  hasReturned: boolean
  /** Run time in ms that is left after the last checkpoint. */
  remaining: number
}

/** One kind of work of a workload. */
export interface WorkClass {
  rule: ResolvedClass
  /** Part of all work items. */
  share: number
  /** Draws a run time in ms from a number of 0 to 1 and a second one. */
  drawRunTime: (a: number, b: number) => number
  /** Mean run time in ms. */
  meanRunTime: number
  /** Number of callers; the first sends as much as all others together. */
  callers: number
  /** Whether demand swings. */
  hasPeaks: boolean
  /** Whether it runs as tasks of jobs, which can be preempted. */
  runsAsTasks: boolean
  /** Role in the report. */
  role: 'urgent' | 'quick' | 'batch' | 'long'
}

/** The work of one desk. */
export interface Workload {
  name: string
  classes: WorkClass[]
  workers: number
  slots: number
}

/** What happens in one run. */
export interface RunPlan {
  workload: Workload
  /** Offered work as a part of all slots' time. */
  load: number
  seed: number
  /** Milliseconds during which work arrives. */
  duration: number
  /** Crest of demand relative to its mean; 1 for steady demand. */
  peakDemand: number
  /** Workers that fail everything from a quarter of the run on. */
  failingWorkers: number
  /** Milliseconds between waves of cancellations; 0 for none. */
  waveInterval: number
}
