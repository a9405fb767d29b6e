import type { RouteTerms, ScheduledRoute } from '../types/configuration.js'
import type { Step } from '../types/job.js'
import { speedClassOf } from '../speeds/speedClass.js'
import { chainLength } from './chainLength.js'
import { findScheduledRoute } from './findScheduledRoute.js'
import type { StepState } from './model.js'

/** Ratio of a job's duration to its objective above which the job's result is of no use to the caller, as specified by the platform. */
export const MAX_USEFUL_OBJECTIVE_RATIO = 3

/** Share of the time left that a job should run by its declared durations, which are up to nine tenths too short; later steps and gangs wait too. */
const MAX_RUN_SHARE = 0.33
/** Class above those of all workers, for jobs that are late. */
const MAX_SPEED_CLASS = 10

/** A step with the criteria of its rank. */
export interface RankedStep {
  step: StepState
  route: ScheduledRoute
  /** 0: the job can still meet its objective; 1: it will be late; 2: it will be too late to be of use. */
  lateness: 0 | 1 | 2
  /** Monotonic ms by which the step's occurrence of the job should have ended. */
  objectiveAt: number
  /** Whether the job was submitted beyond the rate of its organisation. */
  isBeyondRate: boolean
  /** Class of the speed at which the rest of the step's job would run for `MAX_RUN_SHARE` of the time left. */
  neededSpeedClass: number
}

/**
 * Ranks steps by their value to the callers: first those whose jobs can still meet their objectives, then late ones, then those that
 * will be too late to be of use. Within each group, steps are ranked by the route's priority and then by the time left. Steps of jobs that an
 * organisation has submitted beyond its rate come after all useful ones within it, and before those that are of no use any more: callers
 * gain nothing from the latter, and something from the former.
 *
 * @param steps - steps with waiting tasks
 * @param options - `routeOf`: returns the configured route with a name; `now`: monotonic ms; `arrange`: orders steps that differ only in the time left, which are passed in that order
 * @returns the steps in rank order, without those whose route is not known, whose occurrence is not yet due, or whose job's record the store doesn't accept
 */
export function rankSteps (steps: Iterable<StepState>, options: { routeOf: (name: string) => ScheduledRoute | undefined, now: number, arrange?: (run: RankedStep[]) => RankedStep[] }): RankedStep[] {
  const ranked: RankedStep[] = []
  for (const step of steps) {
    const route = findScheduledRoute(step.occurrence.job.job, options.routeOf)
    // A run must be on record before it starts.
    if (route === undefined || step.occurrence.dueAt > options.now || step.occurrence.job.isRecordRejected) continue
    ranked.push(rankStep(step, route, options.now))
  }
  ranked.sort((a, b) => groupOf(a) - groupOf(b) || a.lateness - b.lateness || a.route.priority - b.route.priority || a.objectiveAt - b.objectiveAt)
  return options.arrange === undefined ? ranked : arrangeEach(ranked, options.arrange)
}

/** Arranges each series of steps that differ only in the time left. */
function arrangeEach (ranked: RankedStep[], arrange: (steps: RankedStep[]) => RankedStep[]): RankedStep[] {
  const arranged: RankedStep[] = []
  for (let from = 0, to = 0; from < ranked.length; from = to) {
    const first = ranked[from]!
    while (to < ranked.length && isOfSameRank(ranked[to]!, first)) to++
    for (const step of to - from === 1 ? [first] : arrange(ranked.slice(from, to))) arranged.push(step)
  }
  return arranged
}

function isOfSameRank (a: RankedStep, b: RankedStep): boolean {
  return groupOf(a) === groupOf(b) && a.lateness === b.lateness && a.route.priority === b.route.priority
}

function rankStep (step: StepState, route: ScheduledRoute, now: number): RankedStep {
  const { occurrence } = step
  const start = Math.max(occurrence.dueAt, occurrence.job.submittedAt)
  const span = objectiveSpan(occurrence.job.job.steps, route)
  const finish = now + chainLength(occurrence.job.job.steps, step.index)
  const lateness = finish <= start + span ? 0 : finish <= start + MAX_USEFUL_OBJECTIVE_RATIO * span ? 1 : 2
  return { step, route, lateness, objectiveAt: start + span, isBeyondRate: occurrence.job.isBeyondRate, neededSpeedClass: neededSpeedClass(finish - now, start + span - now) }
}

function neededSpeedClass (duration: number, left: number): number {
  return left <= 0 ? MAX_SPEED_CLASS : Math.min(MAX_SPEED_CLASS, speedClassOf(duration / (MAX_RUN_SHARE * left)))
}

/**
 * Decides whether capacity may be held for a gang until it starts. Capacity that is held stays empty or is kept from others. Work that is too late is not
 * worth that; nor, unless most of the capacity is free, is work beyond the rate or late work of an organisation, which earns a fifth of work in
 * time. Such a gang starts when all of it fits at once. Work without an organisation is served as before there were any.
 *
 * @param rankedStep - the gang
 * @param isMostlyFree - whether most of the service's capacity is free
 */
export function mayHoldCapacity ({ step, lateness, isBeyondRate }: RankedStep, isMostlyFree: boolean): boolean {
  const isWorthHolding = !isBeyondRate && (lateness === 0 || step.occurrence.job.job.organisation === undefined)
  return lateness < 2 && (isMostlyFree || isWorthHolding)
}

/** @returns the first criterion of a step's rank: 0 and 1 for useful work within and beyond the rate, 2 and 3 for work that is too late */
function groupOf ({ lateness, isBeyondRate }: RankedStep): number {
  return (lateness === 2 ? 2 : 0) + (isBeyondRate ? 1 : 0)
}

/**
 * @param steps - steps of a job
 * @param route - terms of the job's route
 * @returns the job's objective: ms within which an occurrence should end after it is due, or after the submission if that is later
 */
export function objectiveSpan (steps: Step[], route: RouteTerms): number {
  const advice = route.advice === undefined ? 0 : route.advice.base + OBJECTIVE_ADVICE_WORKERS * route.advice.perWorker
  return route.stretch * chainLength(steps, 0, advice) + route.latencyObjective
}

/** Number of workers named in the call to the advice service that an objective includes for each step, as specified by the platform. */
const OBJECTIVE_ADVICE_WORKERS = 30
