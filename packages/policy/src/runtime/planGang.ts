import type { Random } from '@rattanstep/core'
import { packTasks } from './packTasks.js'
import type { PackOptions, Placement } from './packTasks.js'

/** Mean delay in ms before the first new attempt of a gang whose members could not all be held. */
const FIRST_DELAY_MS = 200
const MAX_DELAY_MS = 10_000

/** Milliseconds of waiting that halve the delay of a gang. */
const DELAY_HALVING_WAIT_MS = 5000

/**
 * Places all members of a gang or none. Placements are in order of the workers' identifiers: holders that reserve in
 * the same order cannot block each other in a circle.
 *
 * @param options - members and workers
 * @returns placements in the order in which they are to be held, or `null` when not all members fit
 */
export function planGang (options: PackOptions): Placement[] | null {
  const placements = packTasks(options)
  if (placements.length < options.tasks.length) return null
  return sortByWorker(placements)
}

/**
 * @param placements - placements in any order
 * @returns the same in the order in which they are to be held
 */
export function sortByWorker (placements: Placement[]): Placement[] {
  return placements.sort((a, b) => compareText(a.worker, b.worker) || a.index - b.index)
}

/**
 * Tells how long a gang waits before it tries again. A gang that has waited longer tries sooner, so that none starves.
 *
 * @param options - `attempts`: failed so far; `waited`: ms since the gang was accepted; `random`: source of the spread
 * @returns ms until the next attempt
 */
export function gangRetryDelay (options: { attempts: number, waited: number, random: Random }): number {
  const grown = Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** options.attempts)
  const delay = grown / (1 + options.waited / DELAY_HALVING_WAIT_MS)
  return options.random.jitter(Math.max(FIRST_DELAY_MS / 2, delay))
}

function compareText (a: string, b: string): number {
  return a < b ? -1 : Number(a > b)
}
