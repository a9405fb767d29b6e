import type { Resources } from '../types/instance.js'

/**
 * @param a - first amount
 * @param b - second amount
 * @returns the sum
 */
export function addResources (a: Resources, b: Resources): Resources {
  return {
    slots: a.slots + b.slots,
    cores: a.cores + b.cores,
    memory: a.memory + b.memory,
    accelerators: a.accelerators + b.accelerators
  }
}

/**
 * @param a - amount to subtract from
 * @param b - amount to subtract
 * @returns the difference, which may be negative
 */
export function subtractResources (a: Resources, b: Resources): Resources {
  return {
    slots: a.slots - b.slots,
    cores: a.cores - b.cores,
    memory: a.memory - b.memory,
    accelerators: a.accelerators - b.accelerators
  }
}

/** Tolerance for rounding errors in sums of fractional cores. */
const ROUNDING_TOLERANCE = 1e-9

/**
 * @param needed - needed resources
 * @param available - available resources
 * @returns whether every needed amount is available
 */
export function fitsResources (needed: Resources, available: Resources): boolean {
  return needed.slots <= available.slots + ROUNDING_TOLERANCE &&
    needed.cores <= available.cores + ROUNDING_TOLERANCE &&
    needed.memory <= available.memory + ROUNDING_TOLERANCE &&
    needed.accelerators <= available.accelerators + ROUNDING_TOLERANCE
}
