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
 * @param a - amount to take from
 * @param b - amount taken
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

/** Tolerance for sums of fractional cores. */
const ROUNDING = 1e-9

/**
 * @param need - what is asked for
 * @param room - what is free
 * @returns whether the need fits in the room in every dimension
 */
export function fitsResources (need: Resources, room: Resources): boolean {
  return need.slots <= room.slots + ROUNDING &&
    need.cores <= room.cores + ROUNDING &&
    need.memory <= room.memory + ROUNDING &&
    need.accelerators <= room.accelerators + ROUNDING
}
