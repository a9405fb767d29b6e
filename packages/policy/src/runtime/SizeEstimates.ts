import type { Resources } from '@rattanstep/core'

/** Largest factor by which declared sizes are increased or reduced. */
const MAX_CORRECTION = 5

/** Number of reports from which the observed usage corrects the declared size. */
const MIN_REPORTS = 10

/** Factor by which the estimate exceeds the observed usage. */
const HEADROOM = 1.15

/** Weight of the newest report when usage falls; a rise counts in full at once. */
const DECAY_WEIGHT = 0.02

/** Observed usage relative to the declared size. */
interface UsageRatios {
  count: number
  cores: number
  memory: number
}

/** Corrects declared sizes by the observed usage of earlier work with the same name. */
export class SizeEstimates {
  private readonly ratios = new Map<string, UsageRatios>()

  /**
   * Records observed usage.
   *
   * @param name - name of work of similar size, such as a job or a class
   * @param declared - declared size
   * @param used - observed usage
   */
  observe (name: string, declared: Resources, used: Resources): void {
    const ratios = this.ratios.get(name) ?? { count: 0, cores: 0, memory: 0 }
    ratios.count++
    ratios.cores = updateRatio(ratios.cores, ratio(used.cores, declared.cores))
    ratios.memory = updateRatio(ratios.memory, ratio(used.memory, declared.memory))
    this.ratios.set(name, ratios)
  }

  /**
   * @param name - name of work of similar size
   * @param declared - declared size
   * @returns resources to hold: cores and memory corrected, slots and accelerators as declared
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
