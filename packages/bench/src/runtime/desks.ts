import type { ResolvedClass } from '@rattanstep/rules'
import type { Desk } from '../types/work.js'

/** Run time in ms of short work. */
export const SHORT = 50

const RULE: ResolvedClass = {
  name: '',
  kind: 'request',
  priority: 50,
  reserve: 0,
  most: 1,
  patience: 3000,
  bound: 120_000,
  weight: 1,
  ageing: 0,
  expected: SHORT,
  retries: 0.1,
  preempts: 'nothing',
  askedBy: '',
  line: 1
}

function rule (changes: Partial<ResolvedClass>): ResolvedClass {
  return { ...RULE, ...changes }
}

/** Log-normal run time of the mean given, by the Box-Muller transform. */
function lognormal (mean: number, sigma: number): (a: number, b: number) => number {
  const mu = Math.log(mean) - sigma * sigma / 2
  return (a, b) => Math.exp(mu + sigma * Math.sqrt(-2 * Math.log(1 - a)) * Math.cos(2 * Math.PI * b))
}

/** Run time from 30 to 300 times that of short work, evenly spread over orders of magnitude. */
function long (a: number): number {
  return 30 * SHORT * 10 ** a
}

/** Mean of `long`. */
const LONG_MEAN = 270 * SHORT / Math.LN10

/** Hunt desk: final checks, quick checks and audio renders. Declared times are 5 times off. */
export const HUNT: Desk = {
  name: 'hunt',
  workers: 30,
  slots: 8,
  classes: [
    {
      rule: rule({ name: 'final', priority: 90, reserve: 0.04, patience: 5000, expected: 200, preempts: 'stop' }),
      count: 0.1,
      size: lognormal(40, 0.5),
      mean: 40,
      callers: 40,
      swings: true,
      task: false,
      role: 'urgent'
    },
    {
      rule: rule({ name: 'quick', priority: 60, patience: 3000, expected: 250, preempts: 'stop' }),
      count: 0.88,
      size: lognormal(SHORT, 0.6),
      mean: SHORT,
      callers: 200,
      swings: true,
      task: false,
      role: 'quick'
    },
    {
      rule: rule({ name: 'render', kind: 'batch', priority: 10, patience: 120_000, ageing: 1000, expected: 1000 }),
      count: 0.02,
      size: long,
      mean: LONG_MEAN,
      callers: 20,
      swings: false,
      task: true,
      role: 'long'
    }
  ]
}

/** Passport desk: stamp checks, stamp batches and the ledger. */
export const PASSPORT: Desk = {
  name: 'passport',
  workers: 30,
  slots: 8,
  classes: [
    {
      rule: rule({ name: 'check', priority: 90, reserve: 0.1, patience: 5000, expected: 200, preempts: 'stop' }),
      count: 0.5,
      size: lognormal(40, 0.5),
      mean: 40,
      callers: 100,
      swings: true,
      task: false,
      role: 'urgent'
    },
    {
      rule: rule({ name: 'batch', kind: 'batch', priority: 30, patience: 60_000, ageing: 1000, expected: 40 }),
      count: 0.48,
      size: lognormal(200, 0.6),
      mean: 200,
      callers: 30,
      swings: true,
      task: false,
      role: 'batch'
    },
    {
      rule: rule({ name: 'ledger', kind: 'batch', priority: 10, patience: 120_000, ageing: 1000, expected: 1000 }),
      count: 0.02,
      size: long,
      mean: LONG_MEAN,
      callers: 5,
      swings: false,
      task: true,
      role: 'long'
    }
  ]
}

export const DESKS: Record<string, Desk> = { hunt: HUNT, passport: PASSPORT }
