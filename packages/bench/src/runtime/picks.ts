import type { WorkerPicker, Target } from './DirectScheduler.js'

/** Weight of the expected delay in the weighted sum; the rest is the weight of the idle slots. */
const DELAY_WEIGHT = 0.7

/** Difference to the lowest failure rate up to which a worker passes the filter. */
const FAILURE_TOLERANCE = 0.05

/** @returns a function that picks all workers in turn */
export function roundRobin (): WorkerPicker {
  let next = 0
  return targets => targets[next++ % targets.length]!
}

/**
 * @param targets - all workers
 * @param _work - unused
 * @param random - source of randomness
 * @returns a random worker
 */
export const pickRandom: WorkerPicker = (targets, _work, random) => random.pick(targets)

/**
 * @param targets - all workers
 * @returns the worker with the fewest active items
 */
export const leastConnections: WorkerPicker = targets => findLeast(targets, target => target.activeCount)

/**
 * @param targets - all workers
 * @returns the worker with the shortest expected delay, calculated from declared run times
 */
export const shortestExpectedDelay: WorkerPicker = targets => findLeast(targets, expectedDelay)

/**
 * Implements the filter and weighted sum of
 * "Multi-Objective Load Balancing for Heterogeneous Edge-Based Object Detection Systems".
 * The accuracy filter applies to the failure rate. The weighted sum combines the expected delay and, in place of energy,
 * the idle slots of the worker. Both are scaled to 0..1 over the workers that pass the filter.
 *
 * @param targets - all workers
 * @returns the worker with the lowest score
 */
export const filterAndWeightedSum: WorkerPicker = targets => {
  const lowestFailureRate = Math.min(...targets.map(target => target.failureRate))
  const passing = targets.filter(target => target.failureRate <= lowestFailureRate + FAILURE_TOLERANCE)
  const delay = scaleToUnit(passing.map(expectedDelay))
  const idle = scaleToUnit(passing.map(target => Math.max(0, target.machine.slots - target.activeCount)))
  const scores = passing.map((_, index) => DELAY_WEIGHT * delay[index]! + (1 - DELAY_WEIGHT) * idle[index]!)
  let bestIndex = 0
  scores.forEach((score, index) => { if (score < scores[bestIndex]!) bestIndex = index })
  return passing[bestIndex]!
}

function expectedDelay (target: Target): number {
  return target.expectedTime / target.machine.slots
}

function scaleToUnit (values: number[]): number[] {
  const low = Math.min(...values)
  const span = Math.max(...values) - low
  return values.map(value => span === 0 ? 0 : (value - low) / span)
}

function findLeast (targets: Target[], cost: (target: Target) => number): Target {
  let best = targets[0]!
  for (const target of targets) {
    if (cost(target) < cost(best)) best = target
  }
  return best
}
