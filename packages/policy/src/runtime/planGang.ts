import type { Random } from '@rattanstep/core'
import { packTasks } from './packTasks.js'
import type { PackOptions, Placement } from './packTasks.js'

/** Mean delay before the first retry of a gang, after capacity could not be reserved for all its members. */
const FIRST_DELAY_MS = 200
const MAX_DELAY_MS = 10_000

/** Waiting time after which the retry delay of a gang is halved. */
const DELAY_HALVING_WAIT_MS = 5000

/**
 * Places all members of a gang or none. Placements are ordered by the identifiers of the workers: nodes that reserve in the
 * same order cannot deadlock.
 *
 * @param options - members and workers
 * @returns placements in the order in which their capacity must be reserved, or `null` when not all members fit
 */
export function planGang (options: PackOptions): Placement[] | null {
  const placements = packTasks(options)
  if (placements.length < options.tasks.length) return null
  return sortByWorker(placements)
}

/**
 * Sorts placements in place.
 *
 * @param placements - placements in any order
 * @returns the same placements in the order in which their capacity must be reserved
 */
export function sortByWorker (placements: Placement[]): Placement[] {
  return placements.sort((a, b) => compareText(a.worker, b.worker) || a.index - b.index)
}

/**
 * Computes the delay before the next attempt to place a gang. A gang that has waited longer retries sooner, so that none
 * starves, but its mean delay is never below half of the first one.
 *
 * @param options - `attempts`: failed attempts so far; `waited`: ms since the gang was accepted; `random`: source of the jitter
 * @returns delay in ms
 */
export function gangRetryDelay (options: { attempts: number, waited: number, random: Random }): number {
  const grown = Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** options.attempts)
  const delay = grown / (1 + options.waited / DELAY_HALVING_WAIT_MS)
  return options.random.jitter(Math.max(FIRST_DELAY_MS / 2, delay))
}

function compareText (a: string, b: string): number {
  return a < b ? -1 : Number(a > b)
}
