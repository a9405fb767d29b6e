import type { AdviceTerms } from '../types/configuration.js'
import type { AdviceRound } from './AdviceScheduler.js'
import { taskCapacity } from './CapacitySnapshot.js'
import type { Slot } from './CapacitySnapshot.js'
import { hashText, mixHashes } from './hashText.js'
import { compareForSpeed } from '../speeds/speedClass.js'
import type { StepState } from './model.js'
import type { AdviceRequest } from './planRound.js'
import type { RankedStep } from './rankSteps.js'

/** Maximum number of workers named in a call to the advice service. The service accepts 100, but every named worker makes the call longer. */
const MAX_NAMED_WORKERS = 60
/** Maximum number of workers named for a step in calls that several nodes make at the same time. */
const MAX_NAMED_WORKERS_IN_PARALLEL = 120
/** Number of workers from which a step's question is split, if nodes are idle. */
const WORKERS_PER_PARALLEL_CALL = 24
/** Maximum share of the idle nodes that make the calls of one step; the rest remains for steps of lower rank. */
const MAX_PARALLEL_NODE_SHARE = 0.25
/** Accepted probability that the advice service allows none of the named workers, which costs a second call. */
export const MAX_NONE_ALLOWED_RISK = 0.02

/**
 * Plans the calls for a step. If nodes are idle, several of them call at the same time, each for a part of the workers: the answers arrive
 * sooner, and all tickets of a wide gang are valid together.
 *
 * @param rankedStep - the step
 * @param terms - cost of a call
 * @param select - returns the workers to name, at most as many as its argument says
 * @param adviceRound - assigns calls to nodes
 * @returns the calls
 */
export function planAdviceCalls ({ step, route }: RankedStep, terms: AdviceTerms, select: (maxNamed: number) => Slot[], adviceRound: AdviceRound): AdviceRequest[] {
  const maxCalls = Math.max(1, Math.floor(adviceRound.countAvailable(terms, WORKERS_PER_PARALLEL_CALL) * MAX_PARALLEL_NODE_SHARE))
  const workers = select(Math.max(MAX_NAMED_WORKERS, Math.min(MAX_NAMED_WORKERS_IN_PARALLEL, maxCalls * WORKERS_PER_PARALLEL_CALL)))
  const calls = Math.min(maxCalls, Math.ceil(workers.length / WORKERS_PER_PARALLEL_CALL))
  const requests: AdviceRequest[] = []
  for (let call = 0; call < calls; call++) {
    const part = workers.filter((_, index) => index % calls === call).map(slot => slot.worker)
    const assignment = adviceRound.assign(terms, part.length)
    if (assignment === undefined) break
    requests.push({ step, route, workers: part, ...assignment })
  }
  return requests
}

/** @returns the expected duration in ms of a step's call to the advice service */
export function expectedCallDuration (terms: AdviceTerms): number {
  return terms.base + terms.perWorker * WORKERS_PER_PARALLEL_CALL
}

/** @returns the workers in an order that differs between steps, so that steps that ask at the same time name different ones */
export function spreadOver (slots: Slot[], step: StepState): Slot[] {
  const stepHash = hashText(step.name)
  return slots.map(slot => ({ slot, order: mixHashes(stepHash, hashText(slot.worker.report.id)) })).sort((a, b) => a.order - b.order).map(({ slot }) => slot)
}

/**
 * Sorts workers by how well their speeds suit the step, then by the number of tasks that fit, what is held for gangs last. Workers with equal capacity are in a different order for each
 * step, since steps that ask at the same time would otherwise name the same workers, of which only the first answer can make use.
 *
 * @param slots - the workers
 * @param step - the step
 * @param start - `now`: monotonic ms; `priority`: priority of the step's route; `neededSpeedClass`: see `RankedStep`
 * @returns the sorted workers
 */
export function sortByCapacity (slots: Slot[], step: StepState, start: { now: number, priority: number, neededSpeedClass?: number }): Slot[] {
  const { neededSpeedClass } = start
  const stepHash = hashText(step.name)
  return slots
    .map(slot => ({ slot, unheld: taskCapacity(slot, step), usable: taskCapacity(slot, step, start), order: mixHashes(stepHash, hashText(slot.worker.report.id)) }))
    .sort((a, b) => (neededSpeedClass === undefined ? 0 : Number(b.usable > 0) - Number(a.usable > 0) || compareForSpeed(a.slot.worker, b.slot.worker, neededSpeedClass)) || b.unheld - a.unheld || b.usable - a.usable || a.order - b.order)
    .map(({ slot }) => slot)
}
