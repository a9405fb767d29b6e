import { SeededRandom } from '@rattanstep/core'
import { FAULTS, STEPS, whyNotApplicable } from './matrixTable.js'
import type { Area } from './matrixTable.js'
import type { Blow, MatrixCase } from './runCase.js'

/** First seed of the cases; each case has its own. */
const FIRST_SEED = Number(process.env.RATTANSTEP_SEED ?? 1000)

/** Where the seeds of pairs begin, counted from the first. */
const PAIR_OFFSET = 10_000

/** Number of pairs in an ordinary run. */
const PAIRS = Number(process.env.RATTANSTEP_PAIRS ?? 100)

/** @returns every fault at every step where it can strike */
export function singleCases (): MatrixCase[] {
  return allBlows().map((blow, number) => ({ blows: [blow], seed: FIRST_SEED + number }))
}

/** @returns drawn pairs of faults at steps */
export function pairCases (): MatrixCase[] {
  const blows = allBlows()
  const random = new SeededRandom(FIRST_SEED)
  return Array.from({ length: PAIRS }, (_, number) => ({
    blows: [random.pick(blows), { ...random.pick(blows) }],
    seed: FIRST_SEED + PAIR_OFFSET + number
  }))
}

/**
 * @param options - a case
 * @returns its name
 */
export function nameCase ({ blows, seed }: MatrixCase): string {
  return `${blows.map(({ step, fault }) => `${fault} at ${step}`).join(' and ')} (seed ${seed})`
}

function allBlows (): Blow[] {
  const areas = Object.keys(STEPS) as Area[]
  return areas.flatMap(area => STEPS[area].flatMap(step => FAULTS
    .filter(fault => whyNotApplicable(step, fault) === null)
    .map(fault => ({ step, fault }))))
}
