import type { Route } from '../types/configuration.js'
import type { StepState } from './model.js'

/** Late beyond this many objectives a job earns its caller nothing; the platform's pages. */
const MAX_USEFUL_OBJECTIVES = 3

/** A step with its place in line. */
export interface RankedStep {
  step: StepState
  route: Route
  /** 0: can still make its objective; 1: will be late; 2: too late to be of use. */
  lateness: 0 | 1 | 2
  /** Monotonic ms by which its job should have ended. */
  objective: number
}

/**
 * Puts steps in order of what they can still earn their callers: first those that can make their objective, by priority and then
 * by the time left; then late ones; last those that come too late to be of use.
 *
 * @param steps - steps with tasks that wait
 * @param options - `routeOf`: the route of a job; `now`: monotonic ms
 * @returns the order; steps whose route is unknown are left out
 */
export function rankSteps (steps: Iterable<StepState>, options: { routeOf: (name: string) => Route | undefined, now: number }): RankedStep[] {
  const ranked: RankedStep[] = []
  for (const step of steps) {
    const route = options.routeOf(step.occurrence.job.job.route)
    if (route === undefined || step.occurrence.dueAt > options.now) continue
    ranked.push(rankStep(step, route, options.now))
  }
  return ranked.sort((a, b) => a.lateness - b.lateness || a.route.priority - b.route.priority || a.objective - b.objective)
}

function rankStep (step: StepState, route: Route, now: number): RankedStep {
  const { occurrence } = step
  const start = Math.max(occurrence.dueAt, occurrence.job.submittedAt)
  const span = objectiveSpan(occurrence.steps.map(each => each.definition), route)
  const finish = now + chainLength(occurrence.steps.map(each => each.definition), step.index)
  const lateness = finish <= start + span ? 0 : finish <= start + MAX_USEFUL_OBJECTIVES * span ? 1 : 2
  return { step, route, lateness, objective: start + span }
}

/**
 * @param steps - the steps of a job
 * @param route - its route
 * @returns ms from hand-in within which the job should end
 */
export function objectiveSpan (steps: StepState['definition'][], route: Route): number {
  const advice = route.advice === undefined ? 0 : route.advice.base + OBJECTIVE_ADVICE_WORKERS * route.advice.perWorker
  return route.stretch * chainLength(steps, 0, advice) + route.latencyObjective
}

/** Workers named in the one call for advice that an objective counts for each step; the platform's pages. */
const OBJECTIVE_ADVICE_WORKERS = 30

/**
 * @param steps - the steps of a job
 * @param from - first step that counts
 * @param perStep - ms added for each step
 * @returns ms of the longest chain of steps that follow one another
 */
function chainLength (steps: StepState['definition'][], from: number, perStep = 0): number {
  const lengths: number[] = []
  let longest = 0
  for (let index = from; index < steps.length; index++) {
    const step = steps[index]!
    const before = Math.max(0, ...step.after.filter(earlier => earlier >= from).map(earlier => lengths[earlier] ?? 0))
    lengths[index] = before + step.estimate + perStep
    longest = Math.max(longest, lengths[index]!)
  }
  return longest
}
