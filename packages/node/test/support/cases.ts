import { SeededRandom } from '@rattanstep/core'
import { FAULTS, STEPS, whyNotApplicable } from './matrixTable.js'
import type { Area } from './matrixTable.js'
import type { FaultInjection, MatrixCase } from './runCase.js'

/** First seed of the cases; each case has its own. */
const FIRST_SEED = Number(process.env.RATTANSTEP_SEED ?? 1000)

/** Where the seeds of pairs begin, counted from the first. */
const PAIR_SEED_OFFSET = 10_000

/** Number of pairs in an ordinary run. */
const PAIR_COUNT = Number(process.env.RATTANSTEP_PAIRS ?? 100)

/** @returns every fault at every step where it can strike */
export function singleCases (): MatrixCase[] {
  return listFaultInjections().map((injection, number) => ({ injections: [injection], seed: FIRST_SEED + number }))
}

/** @returns drawn pairs of faults at steps */
export function pairCases (): MatrixCase[] {
  const injections = listFaultInjections()
  const random = new SeededRandom(FIRST_SEED)
  return Array.from({ length: PAIR_COUNT }, (_, number) => ({
    injections: [random.pick(injections), { ...random.pick(injections) }],
    seed: FIRST_SEED + PAIR_SEED_OFFSET + number
  }))
}

/**
 * @param options - a case
 * @returns its name
 */
export function nameCase ({ injections, seed }: MatrixCase): string {
  return `${injections.map(({ step, fault }) => `${fault} at ${step}`).join(' and ')} (seed ${seed})`
}

function listFaultInjections (): FaultInjection[] {
  const areas = Object.keys(STEPS) as Area[]
  return areas.flatMap(area => STEPS[area].flatMap(step => FAULTS
    .filter(fault => whyNotApplicable(step, fault) === null)
    .map(fault => ({ step, fault }))))
}
