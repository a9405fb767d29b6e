import { SeededRandom } from '@rattanstep/core'
import { FAULTS, STEPS, whyNotApplicable } from './matrixTable.js'
import type { Area } from './matrixTable.js'
import type { FaultInjection, MatrixCase } from './runCase.js'

/** Seed of the first case; each case has its own seed. */
const FIRST_SEED = Number(process.env.RATTANSTEP_SEED ?? 1000)

/** Offset of the seeds of pairs from the first seed. */
const PAIR_SEED_OFFSET = 10_000

/** Number of random pairs of faults. */
const PAIR_COUNT = Number(process.env.RATTANSTEP_PAIRS ?? 100)

/** @returns a case for every fault at every step where it applies */
export function singleCases (): MatrixCase[] {
  return listFaultInjections().map((injection, number) => ({ injections: [injection], seed: FIRST_SEED + number }))
}

/** @returns cases with random pairs of faults */
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
 * @returns its name, which contains faults, steps and seed
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
