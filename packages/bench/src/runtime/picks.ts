import type { Pick, Target } from './DirectScheduler.js'

/** Weight of the expected delay against the second objective in the weighted sum. */
const DELAY_WEIGHT = 0.7

/** Part of failures above the best one's up to which a worker passes the filter. */
const FAILURE_TOLERANCE = 0.05

/** @returns a pick that goes round all workers */
export function roundRobin (): Pick {
  let next = 0
  return targets => targets[next++ % targets.length]!
}

/**
 * @param targets - all workers
 * @param _work - not looked at
 * @param random - source of the draw
 * @returns any worker
 */
export const pickRandom: Pick = (targets, _work, random) => random.pick(targets)

/**
 * @param targets - all workers
 * @returns the worker with the fewest items
 */
export const leastConnections: Pick = targets => findLeast(targets, target => target.activeCount)

/**
 * @param targets - all workers
 * @returns the worker with the shortest expected delay by declared run times
 */
export const shortestExpectedDelay: Pick = targets => findLeast(targets, expectedDelay)

/**
 * Filter and weighted sum after "Multi-Objective Load Balancing for Heterogeneous Edge-Based Object Detection Systems":
 * its accuracy filter is applied to the part of runs that succeed, its weighted sum to the expected delay and, in the
 * place of energy, to the slots that a choice leaves idle at the worker; both are scaled over the workers that pass.
 *
 * @param targets - all workers
 * @returns the worker with the least score
 */
export const filterAndWeightedSum: Pick = targets => {
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
