import type { Resources } from '@rattanstep/core'

/** Declared sizes are corrected by at most this factor either way. */
const MOST_CORRECTION = 5

/** Reports after which the observed use replaces what was declared. */
const ENOUGH = 10

/** Added to the observed use. */
const HEADROOM = 1.15

/** Weight of the newest report when use falls; a rise counts at once. */
const FADE = 0.02

interface Ratios {
  count: number
  cores: number
  memory: number
}

/** Corrects declared sizes by what earlier work of the same name was seen to use. */
export class SizeEstimates {
  private readonly ratios = new Map<string, Ratios>()

  /**
   * @param name - names work of like size, such as a job or a class
   * @param declared - what was declared
   * @param used - what was seen in use
   */
  observe (name: string, declared: Resources, used: Resources): void {
    const known = this.ratios.get(name) ?? { count: 0, cores: 0, memory: 0 }
    known.count++
    known.cores = follow(known.cores, ratio(used.cores, declared.cores))
    known.memory = follow(known.memory, ratio(used.memory, declared.memory))
    this.ratios.set(name, known)
  }

  /**
   * @param name - names work of like size
   * @param declared - what was declared
   * @returns what to hold: cores and memory corrected, slots and accelerators as declared
   */
  correct (name: string, declared: Resources): Resources {
    const known = this.ratios.get(name)
    if (known === undefined || known.count < ENOUGH) return declared
    return {
      ...declared,
      cores: declared.cores * correction(known.cores),
      memory: Math.ceil(declared.memory * correction(known.memory))
    }
  }
}

function ratio (used: number, declared: number): number {
  return declared > 0 ? used / declared : 1
}

function follow (before: number, now: number): number {
  return now >= before ? now : before + (now - before) * FADE
}

function correction (seen: number): number {
  return Math.min(MOST_CORRECTION, Math.max(1 / MOST_CORRECTION, seen * HEADROOM))
}
