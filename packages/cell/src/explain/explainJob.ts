import { fitsUnderCap } from '@rattanstep/policy'
import type { OrganisationTable } from '../organisations/OrganisationTable.js'
import { emptyTaskCapacity, Slot, taskCapacity } from '../runtime/CapacitySnapshot.js'
import { createJob } from '../runtime/createJob.js'
import { explainWait } from '../runtime/explainWait.js'
import { findScheduledRoute } from '../runtime/findScheduledRoute.js'
import { findSubmissionProblem } from '../runtime/findSubmissionProblem.js'
import type { GangHold, JobState, StepState, WorkerState } from '../runtime/model.js'
import { expectedCallDuration } from '../runtime/planAdviceCalls.js'
import { rankSteps } from '../runtime/rankSteps.js'
import type { RankedStep } from '../runtime/rankSteps.js'
import { Registry } from '../runtime/Registry.js'
import { scheduleGang } from '../runtime/scheduleGang.js'
import type { Configuration, Route } from '../types/configuration.js'
import type { ExplainQuery, Explanation, StepExplanation, UnfitReason } from '../types/explain.js'

/** Maximum numbers of steps, and of workers named for each reason, in an explanation: an answer stays under 20 KB. */
const MAX_STEPS = 8
const MAX_EXAMPLES = 5
const LATENESS = ['in-time', 'late', 'useless'] as const

/** What an explanation is computed from. Nothing of it is changed. */
export interface ExplainContext {
  registry: Registry
  configuration: Configuration | undefined
  routeOf: (name: string) => Route | undefined
  organisations: OrganisationTable
  /** Workers on which tasks may be placed, by service. */
  usable: ReadonlyMap<string, WorkerState[]>
  /** Workers on which nothing but a suspect may run. */
  isolated: ReadonlySet<WorkerState>
  /** Holds of the last round of planning. */
  holds: ReadonlyMap<StepState, GangHold>
  /** Monotonic ms. */
  now: number
}

/** @returns where a job would go now, and why */
export function explainJob (query: ExplainQuery, context: ExplainContext): Explanation {
  const { registry } = context
  if ('steps' in query) return explainHypothetical(query, context)
  const state = registry.jobs.get(query.job)
  if (state === undefined) return { phase: registry.endedJobs.get(query.job)?.phase ?? 'unknown', steps: [], omitted: 0, pending: 0 }
  if (findScheduledRoute(state.job, context.routeOf) === undefined) return { phase: state.visiblePhase, refusal: `no decider has known the route ${state.job.route}, for which the job waits`, steps: [], omitted: 0, pending: 0 }
  return { phase: state.visiblePhase, ...explainSteps(state, registry.readySteps, context) }
}

function explainHypothetical ({ route: name, organisation: owner, steps }: Extract<ExplainQuery, { steps: unknown }>, context: ExplainContext): Explanation {
  const refuse = (refusal: string): Explanation => ({ phase: 'hypothetical', refusal, steps: [], omitted: 0, pending: 0 })
  const route = context.configuration?.routes.find(each => each.name === name)
  if (route === undefined) return refuse(`there is no route ${name}`)
  const problem = findSubmissionProblem({ spec: '', steps })
  if (problem !== undefined) return refuse(problem)
  const organisation = context.configuration?.organisations?.find(each => each.name === owner)
  if (owner !== undefined && organisation === undefined) return refuse(`there is no organisation ${owner}`)
  const wide = steps.findIndex(({ gang, size, count }) => gang && organisation !== undefined && !fitsUnderCap(size, count, organisation.cap))
  if (wide >= 0) return refuse(`the gang of step ${wide} never fits under the cap of ${owner}`)
  // A registry of its own, so that the job is neither planned nor counted.
  const state = new Registry().addJob(createJob('hypothetical', route, { spec: '', steps }, 0, organisation), { now: context.now, age: 0, wall: 0 })
  const ready = state.occurrences[0]!.steps.filter(({ definition }) => definition.after.length === 0)
  return { phase: 'hypothetical', ...explainSteps(state, [...context.registry.readySteps, ...ready], context) }
}

function explainSteps (state: JobState, readySteps: Iterable<StepState>, context: ExplainContext): Pick<Explanation, 'steps' | 'omitted' | 'pending'> {
  const ranked = rankSteps(readySteps, { routeOf: context.routeOf, now: context.now })
  const explained: StepExplanation[] = []
  let ready = 0
  let tasksBefore = 0
  ranked.forEach((each, index) => {
    if (each.step.occurrence.job === state && ready++ < MAX_STEPS) explained.push(explainStep(each, { rank: index + 1, tasksBefore }, context))
    tasksBefore += countWaiting(each.step)
  })
  const open = state.occurrences.reduce((sum, { steps }) => sum + steps.filter(step => countWaiting(step) > 0).length, 0)
  return { steps: explained, omitted: ready - explained.length, pending: open - ready }
}

function explainStep ({ step, route, lateness, objectiveAt }: RankedStep, place: { rank: number, tasksBefore: number }, context: ExplainContext): StepExplanation {
  const { now, holds, usable } = context
  const workers = usable.get(route.service) ?? []
  const slots = new Map(workers.map(worker => [worker, new Slot(worker)]))
  const held = new Set([...holds].flatMap(([owner, { tasksByWorker }]) => owner === step ? [] : [...tasksByWorker.keys()]))
  const free: Slot[] = []
  const unfit: StepExplanation['unfit'] = {}
  for (const worker of context.registry.workers.values()) {
    if (worker.report.service !== route.service) continue
    const slot = slots.get(worker)
    const reason = findUnfitReason(worker, step, { slot, isIsolated: context.isolated.has(worker), isHeld: held.has(worker.report.id) })
    if (reason === undefined) free.push(slot!)
    else {
      const entry = unfit[reason] ??= { workers: 0, examples: [] }
      entry.workers++
      if (entry.examples.length < MAX_EXAMPLES) entry.examples.push(worker.report.id)
    }
  }
  const cap = describeCap(step, context)
  return {
    step: step.name,
    ...place,
    lateness: LATENESS[lateness],
    timeLeft: Math.round(objectiveAt - now),
    wait: explainWait(step, { route, workers, holds, now }),
    fitting: free.length,
    examples: free.slice(0, MAX_EXAMPLES).map(slot => ({ worker: slot.worker.report.id, tasks: taskCapacity(slot, step), speed: slot.worker.speed })),
    unfit,
    ...(cap === undefined ? {} : { cap }),
    projectedStart: projectStart(step, [...slots.values()].filter(slot => isCandidate(slot.worker, step) && !held.has(slot.worker.report.id)), { now, startable: cap?.startable ?? null, advice: route.advice === undefined || step.tickets.size > 0 ? 0 : expectedCallDuration(route.advice) })
  }
}

function findUnfitReason (worker: WorkerState, step: StepState, { slot, isIsolated, isHeld }: { slot: Slot | undefined, isIsolated: boolean, isHeld: boolean }): UnfitReason | undefined {
  if (isIsolated) return 'isolated'
  if (slot === undefined) return 'unusable'
  if (!hasLabel(worker, step)) return 'label'
  if (!isCandidate(worker, step)) return 'rejected'
  if (emptyTaskCapacity(slot, step) < 1) return 'too-small'
  if (taskCapacity(slot, step) < 1) return 'full'
  return isHeld ? 'held' : undefined
}

function hasLabel ({ report }: WorkerState, { definition: { label } }: StepState): boolean {
  return label === undefined || report.labels.includes(label)
}

function isCandidate (worker: WorkerState, step: StepState): boolean {
  return hasLabel(worker, step) && !step.hasRejected(worker.report.id, worker.presence)
}

function describeCap ({ definition, occurrence: { job: { job } } }: StepState, { registry, organisations }: ExplainContext): StepExplanation['cap'] {
  const terms = organisations.termsOf(job)
  const budget = organisations.startRound()(job)
  if (job.organisation === undefined || terms === undefined || budget === undefined) return undefined
  const startable = budget.countFitting(definition.size)
  return { organisation: job.organisation, cap: terms.cap, used: { ...registry.usageOf(job.organisation) }, startable: startable === Infinity ? null : startable }
}

function projectStart (step: StepState, slots: Slot[], { now, startable, advice }: { now: number, startable: number | null, advice: number }): number | null {
  const count = step.definition.gang ? step.tasks.length : 1
  if (startable !== null && startable < count) return null
  const schedule = scheduleGang(step, slots, { now, earliest: now + advice, count })
  return schedule === undefined ? null : Math.round(schedule.startAt - now)
}

function countWaiting ({ tasks }: StepState): number {
  return tasks.countWaiting()
}
