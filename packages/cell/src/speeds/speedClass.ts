import type { WorkerState } from '../runtime/model.js'

/** Difference of the logarithms of the speeds of neighbouring classes: 0.8, 1 and 1.25 of the nominal speed are in a class each. */
const CLASS_WIDTH = 0.22

/** @returns number of the class of a speed; 0 for the nominal speed */
export function speedClassOf (speed: number): number {
  return Math.round(Math.log(speed) / CLASS_WIDTH)
}

/** @returns speed in the middle of a class */
export function speedOfClass (speedClass: number): number {
  return Math.exp(speedClass * CLASS_WIDTH)
}

/**
 * Compares workers for a task that needs a speed: the slowest class that is fast enough comes first, so that faster workers remain for tasks that need
 * them, then the fastest of the others.
 *
 * @param a - a worker
 * @param b - another worker
 * @param needed - class of the speed that is needed
 * @returns a negative number if `a` should be used first, 0 if the speeds make no difference
 */
export function compareForSpeed (a: Pick<WorkerState, 'speedClass'>, b: Pick<WorkerState, 'speedClass'>, needed: number): number {
  if (a.speedClass === b.speedClass) return 0
  const isSlower = a.speedClass - b.speedClass
  return Math.min(a.speedClass, b.speedClass) >= needed ? isSlower : -isSlower
}
