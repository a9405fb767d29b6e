import type { RouteTerms, ScheduledRoute } from '../types/configuration.js'
import { speedClassOf } from '../speeds/speedClass.js'
import { findScheduledRoute } from './findScheduledRoute.js'
import type { StepState } from './model.js'

/** Ratio of a job's duration to its objective above which the job's result is of no use to the caller, as specified by the platform. */
const MAX_USEFUL_OBJECTIVE_RATIO = 3

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
  /** Class of the speed at which the rest of the step's job would run for `MAX_RUN_SHARE` of the time left. */
  neededSpeedClass: number
}

/**
 * Ranks steps by their value to the callers: first those whose jobs can still meet their objectives, then late ones, then those that
 * will be too late to be of use. Within each group, steps are ranked by the route's priority and then by the time left.
 *
 * @param steps - steps with waiting tasks
 * @param options - `routeOf`: returns the configured route with a name; `now`: monotonic ms
 * @returns the steps in rank order, without steps whose route is not known or whose occurrence is not yet due
 */
export function rankSteps (steps: Iterable<StepState>, options: { routeOf: (name: string) => ScheduledRoute | undefined, now: number }): RankedStep[] {
  const ranked: RankedStep[] = []
  for (const step of steps) {
    const route = findScheduledRoute(step.occurrence.job.job, options.routeOf)
    if (route === undefined || step.occurrence.dueAt > options.now) continue
    ranked.push(rankStep(step, route, options.now))
  }
  return ranked.sort((a, b) => a.lateness - b.lateness || a.route.priority - b.route.priority || a.objectiveAt - b.objectiveAt)
}

function rankStep (step: StepState, route: ScheduledRoute, now: number): RankedStep {
  const { occurrence } = step
  const start = Math.max(occurrence.dueAt, occurrence.job.submittedAt)
  const span = objectiveSpan(occurrence.steps.map(each => each.definition), route)
  const finish = now + chainLength(occurrence.steps.map(each => each.definition), step.index)
  const lateness = finish <= start + span ? 0 : finish <= start + MAX_USEFUL_OBJECTIVE_RATIO * span ? 1 : 2
  return { step, route, lateness, objectiveAt: start + span, neededSpeedClass: neededSpeedClass(finish - now, start + span - now) }
}

function neededSpeedClass (duration: number, left: number): number {
  return left <= 0 ? MAX_SPEED_CLASS : Math.min(MAX_SPEED_CLASS, speedClassOf(duration / (MAX_RUN_SHARE * left)))
}

/**
 * @param steps - steps of a job
 * @param route - terms of the job's route
 * @returns the job's objective: ms within which an occurrence should end after it is due, or after the submission if that is later
 */
export function objectiveSpan (steps: StepState['definition'][], route: RouteTerms): number {
  const advice = route.advice === undefined ? 0 : route.advice.base + OBJECTIVE_ADVICE_WORKERS * route.advice.perWorker
  return route.stretch * chainLength(steps, 0, advice) + route.latencyObjective
}

/** Number of workers named in the call to the advice service that an objective includes for each step, as specified by the platform. */
const OBJECTIVE_ADVICE_WORKERS = 30

/**
 * @param steps - steps of a job
 * @param from - index of the first step to include
 * @param perStep - ms to add for each step
 * @returns estimated duration in ms of the longest chain of steps that depend on each other
 */
function chainLength (steps: StepState['definition'][], from: number, perStep = 0): number {
  const lengths: number[] = []
  let longest = 0
  for (let index = from; index < steps.length; index++) {
    const step = steps[index]!
    const longestDependency = Math.max(0, ...step.after.filter(earlier => earlier >= from).map(earlier => lengths[earlier] ?? 0))
    lengths[index] = longestDependency + step.estimate + perStep
    longest = Math.max(longest, lengths[index]!)
  }
  return longest
}
