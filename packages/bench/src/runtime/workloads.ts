import type { ResolvedClass } from '@rattanstep/rules'
import type { Workload } from '../types/work.js'

/** Mean run time of short work. */
export const SHORT_RUN_TIME_MS = 50

const DEFAULT_RULE: ResolvedClass = {
  name: '',
  kind: 'request',
  priority: 50,
  reserve: 0,
  most: 1,
  patience: 3000,
  bound: 120_000,
  weight: 1,
  ageing: 0,
  expected: SHORT_RUN_TIME_MS,
  retries: 0.1,
  preempts: 'nothing',
  askedBy: '',
  line: 1
}

function createRule (changes: Partial<ResolvedClass>): ResolvedClass {
  return { ...DEFAULT_RULE, ...changes }
}

/** Returns a function that draws log-normal run times with the given mean, by the Box-Muller transform. */
function createLogNormal (mean: number, sigma: number): (a: number, b: number) => number {
  const mu = Math.log(mean) - sigma * sigma / 2
  return (a, b) => Math.exp(mu + sigma * Math.sqrt(-2 * Math.log(1 - a)) * Math.cos(2 * Math.PI * b))
}

/** Draws a run time of 30 to 300 times that of short work, evenly distributed on a logarithmic scale. */
function drawLongRunTime (a: number): number {
  return 30 * SHORT_RUN_TIME_MS * 10 ** a
}

/** Mean of `drawLongRunTime`. */
const LONG_MEAN_MS = 270 * SHORT_RUN_TIME_MS / Math.LN10

/**
 * The `hunt` desk: final checks, quick checks and audio renders. The declared run times of short work are 5
 * times the true means, and that of renders is about a sixth of the true mean.
 */
export const HUNT_WORKLOAD: Workload = {
  name: 'hunt',
  workers: 30,
  slots: 8,
  classes: [
    {
      rule: createRule({ name: 'final', priority: 90, reserve: 0.04, patience: 5000, expected: 200, preempts: 'stop' }),
      share: 0.1,
      drawRunTime: createLogNormal(40, 0.5),
      meanRunTime: 40,
      callers: 40,
      hasPeaks: true,
      runsAsTasks: false,
      role: 'urgent'
    },
    {
      rule: createRule({ name: 'quick', priority: 60, patience: 3000, expected: 250, preempts: 'stop' }),
      share: 0.88,
      drawRunTime: createLogNormal(SHORT_RUN_TIME_MS, 0.6),
      meanRunTime: SHORT_RUN_TIME_MS,
      callers: 200,
      hasPeaks: true,
      runsAsTasks: false,
      role: 'quick'
    },
    {
      rule: createRule({ name: 'render', kind: 'batch', priority: 10, patience: 120_000, ageing: 1000, expected: 1000 }),
      share: 0.02,
      drawRunTime: drawLongRunTime,
      meanRunTime: LONG_MEAN_MS,
      callers: 20,
      hasPeaks: false,
      runsAsTasks: true,
      role: 'long'
    }
  ]
}

/** The `passport` desk: stamp checks, stamp batches and the ledger. */
export const PASSPORT_WORKLOAD: Workload = {
  name: 'passport',
  workers: 30,
  slots: 8,
  classes: [
    {
      rule: createRule({ name: 'check', priority: 90, reserve: 0.1, patience: 5000, expected: 200, preempts: 'stop' }),
      share: 0.5,
      drawRunTime: createLogNormal(40, 0.5),
      meanRunTime: 40,
      callers: 100,
      hasPeaks: true,
      runsAsTasks: false,
      role: 'urgent'
    },
    {
      rule: createRule({ name: 'batch', kind: 'batch', priority: 30, patience: 60_000, ageing: 1000, expected: 40 }),
      share: 0.48,
      drawRunTime: createLogNormal(200, 0.6),
      meanRunTime: 200,
      callers: 30,
      hasPeaks: true,
      runsAsTasks: false,
      role: 'batch'
    },
    {
      rule: createRule({ name: 'ledger', kind: 'batch', priority: 10, patience: 120_000, ageing: 1000, expected: 1000 }),
      share: 0.02,
      drawRunTime: drawLongRunTime,
      meanRunTime: LONG_MEAN_MS,
      callers: 5,
      hasPeaks: false,
      runsAsTasks: true,
      role: 'long'
    }
  ]
}

/** Workloads by the names of the desks in flags and results. */
export const WORKLOADS: Record<string, Workload> = { hunt: HUNT_WORKLOAD, passport: PASSPORT_WORKLOAD }
