import type { Resources } from '@rattanstep/core'

/** Declared sizes are corrected by at most this factor either way. */
const MAX_CORRECTION = 5

/** Reports after which the observed use replaces what was declared. */
const MIN_REPORTS = 10

/** Added to the observed use. */
const HEADROOM = 1.15

/** Weight of the newest report when use falls; a rise counts at once. */
const DECAY_WEIGHT = 0.02

interface UsageRatios {
  count: number
  cores: number
  memory: number
}

/** Corrects declared sizes by what earlier work of the same name was seen to use. */
export class SizeEstimates {
  private readonly ratios = new Map<string, UsageRatios>()

  /**
   * @param name - names work of like size, such as a job or a class
   * @param declared - what was declared
   * @param used - what was seen in use
   */
  observe (name: string, declared: Resources, used: Resources): void {
    const ratios = this.ratios.get(name) ?? { count: 0, cores: 0, memory: 0 }
    ratios.count++
    ratios.cores = updateRatio(ratios.cores, ratio(used.cores, declared.cores))
    ratios.memory = updateRatio(ratios.memory, ratio(used.memory, declared.memory))
    this.ratios.set(name, ratios)
  }

  /**
   * @param name - names work of like size
   * @param declared - what was declared
   * @returns what to hold: cores and memory corrected, slots and accelerators as declared
   */
  correct (name: string, declared: Resources): Resources {
    const ratios = this.ratios.get(name)
    if (ratios === undefined || ratios.count < MIN_REPORTS) return declared
    return {
      ...declared,
      cores: declared.cores * correction(ratios.cores),
      memory: Math.ceil(declared.memory * correction(ratios.memory))
    }
  }
}

function ratio (used: number, declared: number): number {
  return declared > 0 ? used / declared : 1
}

function updateRatio (before: number, now: number): number {
  return now >= before ? now : before + (now - before) * DECAY_WEIGHT
}

function correction (observed: number): number {
  return Math.min(MAX_CORRECTION, Math.max(1 / MAX_CORRECTION, observed * HEADROOM))
}
